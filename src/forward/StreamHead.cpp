#include "forward/StreamHead.h"

#include "forward/AnswerStatus.h"

#include <boost/beast/core/string.hpp>

namespace dragonfly::forward {

namespace {

    constexpr int statusNoContent = 204;
    constexpr int statusResetContent = 205;
    constexpr int statusPartialContent = 206; ///< bytes from within a body, not its beginning or its rest
    constexpr std::string_view eventStreamType = "text/event-stream";

}

bool isEventStream(const http::ResponseHead& head)
{
    if (!isSuccess(head.status) || head.status == statusNoContent || head.status == statusResetContent
        || head.status == statusPartialContent)
        return false;
    const auto value = head.headers.valueOr("Content-Type", eventStreamType);
    const auto type = value.substr(0, value.find_first_of("; \t"));
    return boost::beast::iequals({ type.data(), type.size() }, { eventStreamType.data(), eventStreamType.size() });
}

}

#include "http/DiscardedBytes.h"

namespace dragonfly::http {

namespace {

    constexpr std::string_view headEnd = "\r\n\r\n";

}

void recordDiscarded(DiscardedBytes& discarded, std::string_view bytes)
{
    discarded.count += bytes.size();
    if (discarded.hasWholeHead)
        return;
    constexpr auto tailBytes = headEnd.size() - 1;
    const auto boundary = discarded.tail + std::string(bytes.substr(0, tailBytes));
    discarded.hasWholeHead
        = bytes.find(headEnd) != std::string_view::npos || boundary.find(headEnd) != std::string::npos;
    const auto& last = bytes.size() < tailBytes ? std::string_view(boundary) : bytes;
    discarded.tail = std::string(last.substr(last.size() < tailBytes ? 0 : last.size() - tailBytes));
}

}

#pragma once
// Value types for HTTP messages.

#include "http/Body.h"
#include "http/Headers.h"

namespace dragonfly::http {

struct Request {
    std::string method;
    std::string target; ///< path and query
    Headers headers;
    Body body;
};

struct ResponseHead {
    int status = 0;
    Headers headers;
    /// Size of the body if the head states it.
    std::optional<size_t> contentLength = {};
    /// Neither a length nor chunks delimit the body: only the end of the connection shows where it ends.
    bool endsWithConnection = false;
    /// No earlier request was written to the connection, so no other request can have caused the answer.
    bool isFirstOnConnection = false;
};

/// The standard reason phrase of @p status.
std::string_view reasonPhrase(int status);

}

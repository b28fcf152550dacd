#pragma once
// An IP address and port, the only way in which processes are addressed.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dragonfly {

struct Endpoint {
    std::string host; ///< an IP number
    uint16_t port = 0;

    bool operator==(const Endpoint&) const = default;
    std::string toString() const
    {
        return this->host + ":" + std::to_string(this->port);
    }
};

/// Reads "127.0.0.1:8080". Empty when the text is anything else.
std::optional<Endpoint> parseEndpoint(std::string_view text);

}

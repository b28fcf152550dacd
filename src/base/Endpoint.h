#pragma once
// An IP address and port. Processes are addressed only in this form, never by host name.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dragonfly {

struct Endpoint {
    std::string host; ///< IP address in text form
    uint16_t port = 0;

    bool operator==(const Endpoint&) const = default;
    std::string toString() const
    {
        return this->host + ":" + std::to_string(this->port);
    }
};

/// Parses an IP address and port such as "127.0.0.1:8080". Returns nullopt for any other text, such as a host name.
std::optional<Endpoint> parseEndpoint(std::string_view text);

/// Like parseEndpoint(), for the address of another process: no port 0, which stands for any, and the IP address of a
/// single interface, in its usual form and without a scope.
std::optional<Endpoint> parseRemoteEndpoint(std::string_view text);

}

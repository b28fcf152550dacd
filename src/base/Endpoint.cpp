#include "base/Endpoint.h"

#include <QHostAddress>
#include <charconv>

namespace dragonfly {

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    const auto host = text.substr(0, colon);
    const auto port = text.substr(colon + 1);
    uint16_t number = 0;
    const auto [end, failure] = std::from_chars(port.data(), port.data() + port.size(), number);
    if (failure != std::errc() || end != port.data() + port.size())
        return std::nullopt;
    if (QHostAddress(QString::fromUtf8(host.data(), static_cast<int>(host.size()))).isNull())
        return std::nullopt;
    return Endpoint { std::string(host), number };
}

}

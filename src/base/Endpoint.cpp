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
    const auto portText = text.substr(colon + 1);
    uint16_t port = 0;
    const auto [end, error] = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    if (error != std::errc() || end != portText.data() + portText.size())
        return std::nullopt;
    if (QHostAddress(QString::fromUtf8(host.data(), static_cast<int>(host.size()))).isNull())
        return std::nullopt;
    return Endpoint { std::string(host), port };
}

}

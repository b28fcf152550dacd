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

std::optional<Endpoint> parseRemoteEndpoint(std::string_view text)
{
    auto endpoint = parseEndpoint(text);
    if (!endpoint || !endpoint->port)
        return std::nullopt;
    const QHostAddress address(QString::fromStdString(endpoint->host));
    for (const auto any : { QHostAddress::AnyIPv4, QHostAddress::AnyIPv6 }) {
        if (address == QHostAddress(any))
            return std::nullopt;
    }
    // The parser also reads forms that other software does not, such as "10.1", and white space.
    const bool isUsualForm = address.protocol() == QAbstractSocket::IPv6Protocol
        ? endpoint->host.find_first_not_of("0123456789abcdefABCDEF:.") == std::string::npos
        : address.toString().toStdString() == endpoint->host;
    if (address.isBroadcast() || address.isMulticast() || !isUsualForm)
        return std::nullopt;
    return endpoint;
}

}

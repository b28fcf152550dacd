#include "http/RequestChecks.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace dragonfly::http {

namespace {

    namespace beast = boost::beast;
    using Head = beast::http::header<true>;
    using beast::http::field;

    constexpr unsigned http11 = 11;

    std::optional<std::string> checkFraming(const Head& head)
    {
        const auto encodings = head.count(field::transfer_encoding);
        if (encodings > 1 || (encodings && !beast::iequals(head[field::transfer_encoding], "chunked")))
            return "Transfer-Encoding: only a single 'chunked' is supported";
        if (encodings && head.version() < http11)
            return "Transfer-Encoding: not allowed before HTTP/1.1";
        const auto length = head[field::content_length];
        if (head.count(field::content_length) > 1 || length.find_first_not_of("0123456789") != beast::string_view::npos)
            return "Content-Length: expected one decimal number";
        return std::nullopt;
    }

    /// "host:port" of a request target in absolute form, or nothing for the other forms.
    std::optional<beast::string_view> authorityOf(beast::string_view target)
    {
        const auto scheme = target.find("://");
        if (target.empty() || target.front() == '/' || scheme == beast::string_view::npos)
            return std::nullopt;
        const auto rest = target.substr(scheme + 3);
        return rest.substr(0, rest.find('/'));
    }

    std::optional<std::string> checkHost(const Head& head)
    {
        const auto hosts = head.count(field::host);
        if (hosts > 1 || (!hosts && head.version() >= http11))
            return "Host: exactly one is required";
        const auto authority = authorityOf(head.target());
        if (authority && !beast::iequals(*authority, head[field::host]))
            return "Host: differs from the authority of the target";
        return std::nullopt;
    }

}

std::optional<std::string> findAmbiguity(const Head& head)
{
    if (head.method() == beast::http::verb::connect)
        return "CONNECT is not supported";
    for (const auto check : { checkFraming, checkHost }) {
        if (auto problem = check(head))
            return problem;
    }
    return std::nullopt;
}

bool hasFoldedLine(std::string_view bytes)
{
    const auto head = bytes.substr(0, bytes.find("\r\n\r\n"));
    if (head.size() == bytes.size())
        return false;
    return head.find("\r\n ") != std::string_view::npos || head.find("\r\n\t") != std::string_view::npos;
}

}

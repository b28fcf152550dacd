#include "http/RequestChecks.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>

namespace dragonfly::http {

namespace {

    constexpr int http11 = 11;

    bool isSame(std::string_view a, std::string_view b)
    {
        return boost::beast::iequals({ a.data(), a.size() }, { b.data(), b.size() });
    }

    std::optional<std::string> checkFraming(const RequestParser& head)
    {
        const auto& headers = head.headers;
        const auto encodings = headers.count("Transfer-Encoding");
        if (encodings > 1 || (encodings && !isSame(headers.valueOr("Transfer-Encoding", ""), "chunked")))
            return "Transfer-Encoding: only a single 'chunked' is supported";
        if (encodings && head.version < http11)
            return "Transfer-Encoding: not allowed before HTTP/1.1";
        const auto length = headers.valueOr("Content-Length", "");
        if (headers.count("Content-Length") > 1 || length.find_first_not_of("0123456789") != std::string_view::npos)
            return "Content-Length: expected one decimal number";
        return std::nullopt;
    }

    /// "host:port" of a request target in absolute form, or nothing for the other forms.
    std::optional<std::string_view> authorityOf(std::string_view target)
    {
        const auto scheme = target.find("://");
        if (target.empty() || target.front() == '/' || scheme == std::string_view::npos)
            return std::nullopt;
        const auto rest = target.substr(scheme + 3);
        return rest.substr(0, rest.find('/'));
    }

    std::optional<std::string> checkHost(const RequestParser& head)
    {
        const auto hosts = head.headers.count("Host");
        if (hosts > 1 || (!hosts && head.version >= http11))
            return "Host: exactly one is required";
        const auto authority = authorityOf(head.target);
        if (authority && !isSame(*authority, head.headers.valueOr("Host", "")))
            return "Host: differs from the authority of the target";
        return std::nullopt;
    }

}

std::optional<std::string> findAmbiguity(const RequestParser& parser)
{
    if (parser.method == "CONNECT")
        return "CONNECT is not supported";
    for (const auto check : { checkFraming, checkHost }) {
        if (auto problem = check(parser))
            return problem;
    }
    return std::nullopt;
}

bool hasFoldedLine(std::string_view bytes, size_t& searched)
{
    constexpr std::string_view end = "\r\n\r\n";
    const auto found = bytes.find(end, searched - std::min(searched, end.size() - 1));
    searched = bytes.size();
    if (found == std::string_view::npos)
        return false;
    const auto head = bytes.substr(0, found);
    return head.find("\r\n ") != std::string_view::npos || head.find("\r\n\t") != std::string_view::npos;
}

}

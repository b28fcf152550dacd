#include "http/Message.h"

#include <ostream>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/status.hpp>

namespace dragonfly::http {

std::optional<std::string_view> Headers::find(std::string_view name) const
{
    for (const auto& field : this->fields) {
        if (boost::beast::iequals({ field.name.data(), field.name.size() }, { name.data(), name.size() }))
            return field.value;
    }
    return std::nullopt;
}

std::string_view Headers::valueOr(std::string_view name, std::string_view fallback) const
{
    return this->find(name).value_or(fallback);
}

void Headers::add(std::string_view name, std::string_view value)
{
    this->fields.push_back({ std::string(name), std::string(value) });
}

std::string_view reasonPhrase(int status)
{
    const auto phrase = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
    return { phrase.data(), phrase.size() };
}

}

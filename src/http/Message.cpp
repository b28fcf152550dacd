#include "http/Message.h"

#include <algorithm>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/status.hpp>

namespace dragonfly::http {

std::optional<std::string_view> Headers::find(std::string_view name) const
{
    for (const auto field : *this) {
        if (boost::beast::iequals({ field.name.data(), field.name.size() }, { name.data(), name.size() }))
            return field.value;
    }
    return std::nullopt;
}

std::string_view Headers::valueOr(std::string_view name, std::string_view fallback) const
{
    return this->find(name).value_or(fallback);
}

size_t Headers::count(std::string_view name) const
{
    return static_cast<size_t>(std::count_if(this->begin(), this->end(), [name](const Header& field) {
        return boost::beast::iequals({ field.name.data(), field.name.size() }, { name.data(), name.size() });
    }));
}

void Headers::add(std::string_view name, std::string_view value)
{
    const auto begin = static_cast<uint32_t>(this->text.size());
    this->text.append(name).append(value);
    this->positions.push_back({ begin, static_cast<uint32_t>(name.size()), static_cast<uint32_t>(value.size()) });
}

void Headers::shrink()
{
    this->text.shrink_to_fit();
    this->positions.shrink_to_fit();
}

std::string_view reasonPhrase(int status)
{
    const auto phrase = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
    return { phrase.data(), phrase.size() };
}

}

#include "http/Message.h"

#include <algorithm>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/status.hpp>

namespace dragonfly::http {

namespace {

    constexpr unsigned sizeBits = 7; ///< of a size, in each byte
    constexpr unsigned char moreBytes = 1U << sizeBits; ///< flag of all bytes of a size but the last

    void appendSize(std::string& text, size_t size)
    {
        for (; size >= moreBytes; size >>= sizeBits)
            text.push_back(static_cast<char>(moreBytes | (size & (moreBytes - 1U))));
        text.push_back(static_cast<char>(size));
    }

    /// Reads a size at @p at, which is moved behind it.
    size_t readSize(const char*& at)
    {
        size_t size = 0;
        for (unsigned shift = 0;; shift += sizeBits) {
            const auto byte = static_cast<unsigned char>(*at++);
            size |= static_cast<size_t>(byte & (moreBytes - 1U)) << shift;
            if (!(byte & moreBytes))
                return size;
        }
    }

}

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
    appendSize(this->text, name.size());
    appendSize(this->text, value.size());
    this->text.append(name).append(value);
    ++this->fieldCount;
}

void Headers::shrink()
{
    this->text.shrink_to_fit();
}

Header Headers::Iterator::operator*() const
{
    const char* next = this->at;
    const auto nameBytes = readSize(next);
    const auto valueBytes = readSize(next);
    return { { next, nameBytes }, { next + nameBytes, valueBytes } };
}

Headers::Iterator& Headers::Iterator::operator++()
{
    const auto field = **this;
    this->at = field.value.data() + field.value.size();
    return *this;
}

std::string_view reasonPhrase(int status)
{
    const auto phrase = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
    return { phrase.data(), phrase.size() };
}

}

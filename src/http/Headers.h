#pragma once
// Header fields in one buffer that is no larger than their lines, since callers choose how many there are.

#include <cstddef>
#include <initializer_list>
#include <iterator>
#include <optional>
#include <string>
#include <string_view>

namespace dragonfly::http {

/// A view of a header field, valid until its Headers change.
struct Header {
    std::string_view name;
    std::string_view value;
};

/// Header fields in the order received or added. Names are case-insensitive.
class Headers {
public:
    class Iterator {
    public:
        using iterator_concept = std::forward_iterator_tag;
        using iterator_category = std::input_iterator_tag;
        using value_type = Header;
        using difference_type = std::ptrdiff_t;
        using reference = Header;
        using pointer = void;

        Iterator() = default;
        Header operator*() const;
        Iterator& operator++();
        Iterator operator++(int)
        {
            auto before = *this;
            ++*this;
            return before;
        }
        bool operator==(const Iterator& other) const = default;

    private:
        friend class Headers;
        explicit Iterator(const char* at)
            : at(at)
        {
        }
        const char* at = nullptr; ///< the field, or the end of the last one
    };

    Headers() = default;
    Headers(std::initializer_list<Header> fields)
    {
        for (const auto& field : fields)
            this->add(field.name, field.value);
    }

    /// The value of the first field named @p name, or nothing. Valid until a field is added.
    std::optional<std::string_view> find(std::string_view name) const;
    std::string_view valueOr(std::string_view name, std::string_view fallback) const;
    /// The number of fields named @p name.
    size_t count(std::string_view name) const;
    void add(std::string_view name, std::string_view value);
    /// Releases the room for further fields.
    void shrink();

    /// The number of fields.
    size_t size() const
    {
        return this->fieldCount;
    }
    /// Bytes of memory that the fields take, with room for further ones.
    size_t capacityBytes() const
    {
        return this->text.capacity();
    }
    Iterator begin() const
    {
        return Iterator(this->text.data());
    }
    Iterator end() const
    {
        return Iterator(this->text.data() + this->text.size());
    }

private:
    /// For each field the sizes of its name and its value, then both. A size takes a byte for each seven bits, the
    /// lowest first, so that a field takes no more than its line.
    std::string text;
    size_t fieldCount = 0;
};

}

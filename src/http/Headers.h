#pragma once
// Header fields in one buffer, since callers choose how many there are.

#include <cstdint>
#include <initializer_list>
#include <iterator>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dragonfly::http {

/// A view of a header field, valid until its Headers change.
struct Header {
    std::string_view name;
    std::string_view value;
};

/// Header fields in the order received or added. Names are case-insensitive.
class Headers {
    /// Where a field stands in the text: its name, and its value right behind that.
    struct Position {
        uint32_t begin;
        uint32_t nameBytes;
        uint32_t valueBytes;
    };

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
        Header operator*() const
        {
            return this->headers->at(this->index);
        }
        Iterator& operator++()
        {
            ++this->index;
            return *this;
        }
        Iterator operator++(int)
        {
            auto before = *this;
            ++this->index;
            return before;
        }
        bool operator==(const Iterator& other) const = default;

    private:
        friend class Headers;
        Iterator(const Headers* headers, size_t index)
            : headers(headers)
            , index(index)
        {
        }
        const Headers* headers = nullptr;
        size_t index = 0;
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

    size_t size() const
    {
        return this->positions.size();
    }
    /// Bytes of memory that the fields take, with room for further ones.
    size_t capacityBytes() const
    {
        return this->text.capacity() + this->positions.capacity() * sizeof(Position);
    }
    Iterator begin() const
    {
        return { this, 0 };
    }
    Iterator end() const
    {
        return { this, this->positions.size() };
    }

private:
    Header at(size_t index) const
    {
        const auto& position = this->positions[index];
        const auto field = std::string_view(this->text).substr(position.begin);
        return { field.substr(0, position.nameBytes), field.substr(position.nameBytes, position.valueBytes) };
    }

    std::string text; ///< names and values without separators
    std::vector<Position> positions;
};

}

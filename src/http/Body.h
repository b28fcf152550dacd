#pragma once
// The bytes of a message's body, which all copies of the message share.

#include <memory>
#include <string>
#include <string_view>

namespace dragonfly::http {

class Body {
public:
    Body() = default;
    // Implicit, so that a message is written with its body as text.
    Body(std::string bytes) // NOLINT(google-explicit-constructor)
        : bytes(bytes.empty() ? nullptr : std::make_shared<const std::string>(std::move(bytes)))
    {
    }
    Body(const char* text) // NOLINT(google-explicit-constructor)
        : Body(std::string(text))
    {
    }

    const std::string& text() const
    {
        static const std::string none;
        return this->bytes ? *this->bytes : none;
    }
    operator const std::string&() const // NOLINT(google-explicit-constructor)
    {
        return this->text();
    }
    operator std::string_view() const // NOLINT(google-explicit-constructor)
    {
        return this->text();
    }
    size_t size() const
    {
        return this->text().size();
    }
    bool empty() const
    {
        return this->text().empty();
    }
    /// Bytes of memory that the body takes, once for all copies.
    size_t capacityBytes() const
    {
        return this->bytes ? this->bytes->capacity() : 0;
    }
    friend bool operator==(const Body& a, std::string_view b)
    {
        return a.text() == b;
    }

private:
    std::shared_ptr<const std::string> bytes; ///< null if there are none
};

}

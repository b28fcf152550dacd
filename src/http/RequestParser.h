#pragma once
// Collects the head and the body of a request. What it holds is known at any time, and trailers are not kept.

#include "http/Message.h"

#include <algorithm>
#include <boost/beast/http/basic_parser.hpp>

namespace dragonfly::http {

class RequestParser : public boost::beast::http::basic_parser<true> {
public:
    std::string method;
    std::string target;
    int version = 0; ///< of HTTP, times ten
    Headers headers; ///< without trailers, which are unchecked and must not select a key or a deadline
    std::string body;

    /// Bytes of memory that the request takes, capacity included.
    size_t capacityBytes() const
    {
        return this->target.capacity() + this->headers.capacityBytes() + this->body.capacity();
    }

private:
    using Text = boost::beast::string_view;
    using Code = boost::beast::error_code;

    /// A body grows by this part of itself, which bounds its unused capacity.
    static constexpr size_t growthDivisor = 2;

    void on_request_impl(boost::beast::http::verb, Text method, Text target, int version, Code&) override
    {
        this->method.assign(method.data(), method.size());
        this->target.assign(target.data(), target.size());
        this->version = version;
    }
    void on_response_impl(int, Text, int, Code&) override
    {
    }
    void on_field_impl(boost::beast::http::field, Text name, Text value, Code&) override
    {
        if (!this->is_header_done())
            this->headers.add({ name.data(), name.size() }, { value.data(), value.size() });
    }
    void on_header_impl(Code&) override
    {
        this->headers.shrink();
    }
    void on_body_init_impl(const boost::optional<uint64_t>&, Code&) override
    {
    }
    size_t on_body_impl(Text text, Code&) override
    {
        const auto remaining = this->content_length_remaining();
        this->append(
            text, remaining ? std::optional(this->body.size() + static_cast<size_t>(*remaining)) : std::nullopt);
        return text.size();
    }
    void on_chunk_header_impl(uint64_t, Text, Code&) override
    {
    }
    size_t on_chunk_body_impl(uint64_t, Text text, Code&) override
    {
        this->append(text, std::nullopt);
        return text.size();
    }
    void on_finish_impl(Code&) override
    {
    }

    /// Appends @p text to the body.
    /// @param wholeBytes size of the whole body, if it is known
    void append(Text text, std::optional<size_t> wholeBytes)
    {
        const auto needed = this->body.size() + text.size();
        if (needed > this->body.capacity()) {
            const auto grown = needed + needed / growthDivisor;
            std::string larger; // std::string::reserve() of one in use doubles its capacity
            larger.reserve(std::min(grown, wholeBytes.value_or(grown)));
            larger.append(this->body);
            this->body.swap(larger);
        }
        this->body.append(text.data(), text.size());
    }
};

}

#pragma once
// Collects the head and the body of a request. What it holds is known at any time, and trailers are not kept.

#include "base/Growth.h"
#include "http/Message.h"

#include <boost/beast/http/basic_parser.hpp>

namespace dragonfly::http {

class RequestParser : public boost::beast::http::basic_parser<true> {
public:
    std::string method;
    std::string target;
    int version = 0; ///< of HTTP, times ten
    Headers headers; ///< without trailers, which are unchecked and must not select a key or a deadline
    std::string body;
    size_t bodyLimit = 0; ///< in bytes; no larger body is received

    /// Bytes of memory that the request takes, capacity included.
    size_t capacityBytes() const
    {
        return this->target.capacity() + this->headers.capacityBytes() + this->body.capacity();
    }
    /// The same once the whole body has been received, as far as its length is known.
    size_t expectedBytes() const
    {
        const auto rest = this->is_header_done() ? this->content_length_remaining().value_or(0) : 0;
        const auto wholeBody = this->body.size() + static_cast<size_t>(rest);
        return this->capacityBytes() + wholeBody - std::min(wholeBody, this->body.capacity());
    }

private:
    using Text = boost::beast::string_view;
    using Code = boost::beast::error_code;

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
        const auto rest = static_cast<size_t>(this->content_length_remaining().value_or(text.size()));
        appendTo(this->body, { text.data(), text.size() }, this->body.size() + rest);
        return text.size();
    }
    void on_chunk_header_impl(uint64_t, Text, Code&) override
    {
    }
    size_t on_chunk_body_impl(uint64_t, Text text, Code&) override
    {
        appendTo(this->body, { text.data(), text.size() }, this->bodyLimit);
        return text.size();
    }
    void on_finish_impl(Code&) override
    {
    }
};

}

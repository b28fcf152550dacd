#pragma once
// What a parsed request head must satisfy beyond what the parser checks.
//
// Peers that read the same head differently can be made to disagree about where a request ends, so
// everything that has more than one reading is refused.

#include <boost/beast/http/message.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace dragonfly::http {

/// Why @p head is ambiguous or of a form that this server does not take; empty when it is sound.
std::optional<std::string> findAmbiguity(const boost::beast::http::header<true>& head);

/// Whether the head at the beginning of @p bytes continues a header field on a second line. The parser
/// joins such lines, so this has to be seen before it. False while the head is not whole.
bool hasFoldedLine(std::string_view bytes);

}

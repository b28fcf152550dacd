#pragma once
// Checks of a request head beyond those of the parser.
//
// HTTP implementations that interpret the same head differently disagree about where a request ends, which
// allows request smuggling. Every head with more than one interpretation is therefore refused.

#include "http/RequestParser.h"

#include <optional>
#include <string>
#include <string_view>

namespace dragonfly::http {

/// Why the head that @p parser has completed is ambiguous or unsupported; nothing when it is valid.
std::optional<std::string> findAmbiguity(const RequestParser& parser);

/// Whether the head at the beginning of @p bytes contains a folded header line (obs-fold). The parser joins
/// such lines, so they are detected before parsing. False while the head is incomplete.
/// @param searched bytes in which the end of the head was looked for before; updated, so that a head that arrives in
/// many pieces is searched once
bool hasFoldedLine(std::string_view bytes, size_t& searched);

}

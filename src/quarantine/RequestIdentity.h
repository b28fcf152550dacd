#pragma once
// What the repetitions of a request have in common, whichever instance receives them.

#include "quarantine/PromptEvidence.h"

#include <string>
#include <string_view>
#include <vector>

namespace dragonfly::quarantine {

/// All that two requests must share to be repetitions of one another. Ids, deadlines, the number of the attempt and the
/// place from which a stream is resumed differ between repetitions, and are no part of it.
struct RequestIdentity {
    std::string_view method;
    std::string_view host;
    std::string_view target; ///< path and query
    std::string_view caller; ///< organisation; empty if anonymous, so that all anonymous callers count as one
    std::string_view model; ///< empty for a plain service
    std::vector<std::string_view> prompt; ///< ids of all parts
    std::string_view body;
};

/// The request's own part: 63 bits of a SHA-256 digest, so that no other caller can find a request with the same one.
PartHash hashOfRequest(const RequestIdentity& identity);

}

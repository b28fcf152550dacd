#pragma once
// What was received on a connection and thrown away, and whether a request may have been among it.

#include <cstddef>
#include <string>
#include <string_view>

namespace dragonfly::http {

struct DiscardedBytes {
    size_t count = 0;
    bool hasWholeHead = false; ///< the end of a head was among them
    std::string tail; ///< the last ones, as many as may be part of a head's end
};

void recordDiscarded(DiscardedBytes& discarded, std::string_view bytes);

}

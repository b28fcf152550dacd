#pragma once
// Appends to a buffer whose capacity is counted, so that it holds little more than what was received.

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>

namespace dragonfly {

/// Appends @p bytes to @p buffer. A buffer that is full grows by half.
/// @param whole size of the complete contents, if it is known; the buffer does not grow beyond it
inline void appendTo(std::string& buffer, std::string_view bytes, std::optional<size_t> whole)
{
    const auto needed = buffer.size() + bytes.size();
    if (needed > buffer.capacity()) {
        const auto grown = needed + needed / 2;
        std::string larger; // std::string::reserve() of one in use doubles its capacity
        larger.reserve(std::max(needed, std::min(grown, whole.value_or(grown))));
        larger.append(buffer);
        buffer.swap(larger);
    }
    buffer.append(bytes);
}

}

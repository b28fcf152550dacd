#pragma once
// Incremental parser and writer for server-sent events.

#include <functional>
#include <string>
#include <string_view>

namespace dragonfly::entry {

/// Extracts the data fields of events; comments and other fields are skipped.
class EventStreamReader {
public:
    /// Parses @p bytes and calls @p onData with the data of each complete event. Stops early when it returns false.
    /// Returns false when an event exceeds the size limit.
    bool feed(std::string_view bytes, const std::function<bool(std::string_view)>& onData);

private:
    std::string buffer; ///< bytes of an incomplete event
};

/// Formats one event: "data: ..." and the empty line that ends it.
std::string toEvent(std::string_view data);
std::string toNamedEvent(std::string_view name, std::string_view data);

}

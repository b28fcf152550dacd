#pragma once
// Server-sent events: takes bytes as they arrive and gives whole events.

#include <functional>
#include <string>
#include <string_view>

namespace dragonfly::entry {

/// Collects the data of events; comments and other fields are skipped.
class EventStreamReader {
public:
    /// Feeds bytes and calls @p onData for each whole event. Stops early when it returns false.
    /// Returns false when an event is larger than allowed.
    bool feed(std::string_view bytes, const std::function<bool(std::string_view)>& onData);

private:
    std::string waiting;
};

/// "data: ..." and the empty line that ends the event.
std::string toEvent(std::string_view data);
std::string toNamedEvent(std::string_view name, std::string_view data);

}

#pragma once
// Splits a stream of server-sent events at event boundaries, checks their order and tracks the id of the last one.
//
// Only complete events are relayed, so that a stream interrupted within an event can resume at another target
// after the last event that the caller received. Ids increase, not necessarily by one: an event that is repeated can be
// told, one that is missing cannot.

#include <optional>
#include <string>
#include <string_view>

namespace dragonfly::forward {

/// Why an event cannot be relayed.
enum class EventFault {
    Malformed, ///< not in the format of server-sent events
    OutOfOrder, ///< its id is not greater than the one before
    Unplaced, ///< the first event of another target, without an id that shows that it follows
};

std::string_view toString(EventFault fault);

/// Whether an event ends in the last @p newBytes of @p text.
bool endsEvent(std::string_view text, size_t newBytes);

class EventCursor {
public:
    EventCursor() = default;
    /// @param lastId id of the last event that the caller received of the stream earlier; empty for a new stream
    explicit EventCursor(std::string lastId);

    /// Appends received bytes and returns the complete events before the first fault; an incomplete event at the end is
    /// buffered.
    std::string feed(std::string_view bytes);
    /// Prepares for the events of another target, which must follow the last complete one. Discards the buffered
    /// incomplete event: that target sends it again.
    void dropPartial();
    bool hasPartial() const
    {
        return !this->partial.empty();
    }
    /// The length of the buffered incomplete event.
    size_t partialBytes() const
    {
        return this->partial.size();
    }
    /// The size of its buffer.
    size_t bufferBytes() const
    {
        return this->partial.capacity();
    }
    /// Why the current target's further events are not returned, if it sent one that cannot be relayed.
    std::optional<EventFault> fault() const
    {
        return this->foundFault;
    }
    /// Whether another target's events can be checked to follow the last complete event.
    bool canResume() const
    {
        return this->isLastPlaced;
    }
    /// Whether the current target must continue the stream and has not sent an event yet.
    bool isAwaitingContinuation() const
    {
        return this->mustContinue;
    }
    /// The id of the last complete event; empty before the first.
    const std::string& lastId() const
    {
        return this->lastEventId;
    }
    /// The number of complete events.
    uint32_t count() const
    {
        return this->eventCount;
    }

private:
    struct Event;
    /// Checks and records the events in @p complete. Returns the length of those before the first fault.
    size_t recordEvents(std::string_view complete);
    std::optional<EventFault> record(const Event& event);

    std::string partial; ///< bytes of an incomplete event
    std::string lastEventId;
    uint32_t eventCount = 0;
    bool mustContinue = false;
    bool isLastPlaced = true; ///< the last event had a numeric id, or there was none
    std::optional<EventFault> foundFault;
};

}

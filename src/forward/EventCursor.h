#pragma once
// Cuts a stream of server-sent events at their ends and remembers the last whole one.
//
// Only whole events are passed on, so that a stream that breaks in the middle of one can go on elsewhere
// behind the last event that the caller has.

#include <string>
#include <string_view>

namespace dragonfly::forward {

class EventCursor {
public:
    /// Takes bytes as they arrive and returns those that end whole events.
    std::string feed(std::string_view bytes);
    /// Forgets the event that has begun: another target will send it again.
    void dropPartial()
    {
        this->partial.clear();
    }
    bool hasPartial() const
    {
        return !this->partial.empty();
    }
    /// The id of the last whole event; empty before the first one.
    const std::string& lastId() const
    {
        return this->id;
    }
    uint32_t count() const
    {
        return this->events;
    }

private:
    void noteEvents(std::string_view whole);

    std::string partial;
    std::string id;
    uint32_t events = 0;
};

}

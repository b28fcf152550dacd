#include "forward/EventCursor.h"

#include <algorithm>

namespace dragonfly::forward {

namespace {

    constexpr size_t maxEndLength = 3; ///< of "\n\r\n", in bytes
    /// Capacity that a buffer keeps after a large event, about one read.
    constexpr size_t maxKeptCapacity = 128u << 10;

    /// Length in bytes of the complete events at the beginning of @p text, which end with its last empty line.
    size_t lengthOfCompleteEvents(std::string_view text)
    {
        const auto plain = text.rfind("\n\n");
        const auto withReturn = text.rfind("\n\r\n");
        const auto endPlain = plain == std::string_view::npos ? 0 : plain + 2;
        const auto endWithReturn = withReturn == std::string_view::npos ? 0 : withReturn + 3;
        return std::max(endPlain, endWithReturn);
    }

    /// Whether @p id is a decimal number of any length.
    bool isNumber(std::string_view id)
    {
        return !id.empty() && id.find_first_not_of("0123456789") == std::string_view::npos;
    }

    bool isGreater(std::string_view number, std::string_view other)
    {
        const auto withoutZeros = [](std::string_view text) {
            text.remove_prefix(std::min(text.find_first_not_of('0'), text.size()));
            return text;
        };
        number = withoutZeros(number);
        other = withoutZeros(other);
        return number.size() == other.size() ? number > other : number.size() > other.size();
    }

    bool isFieldName(std::string_view name)
    {
        return !name.empty() && std::ranges::all_of(name, [](char c) {
            return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
        });
    }

    bool isStandardField(std::string_view name)
    {
        return name == "data" || name == "event" || name == "id" || name == "retry";
    }

}

bool endsEvent(std::string_view text, size_t newBytes)
{
    const auto searched = std::min(text.size(), newBytes + maxEndLength - 1);
    return lengthOfCompleteEvents(text.substr(text.size() - searched)) > 0;
}

std::string_view toString(EventFault fault)
{
    switch (fault) {
    case EventFault::Malformed:
        return "malformed event";
    case EventFault::OutOfOrder:
        return "event out of order";
    case EventFault::Unplaced:
        return "event that cannot be shown to follow";
    }
    return "unknown";
}

/// The lines of an event up to its empty line.
struct EventCursor::Event {
    std::optional<std::string_view> id;
    bool hasData = false;
    bool hasStandardField = false;
    bool hasOtherField = false;
    bool isMalformed = false;

    void addLine(std::string_view line)
    {
        const auto colon = line.find(':');
        const auto name = line.substr(0, colon);
        const auto value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
        if (!colon) // a comment
            return;
        if (name == "id")
            this->id = value.starts_with(' ') ? value.substr(1) : value;
        this->hasData = this->hasData || name == "data";
        if (isStandardField(name)) {
            this->hasStandardField = true;
            return;
        }
        // Fields of a platform come first: after the others, they are the head of another answer.
        this->hasOtherField = true;
        this->isMalformed = this->isMalformed || this->hasStandardField || !isFieldName(name);
    }
};

EventCursor::EventCursor(std::string lastId)
    : lastEventId(std::move(lastId))
    , mustContinue(isNumber(this->lastEventId))
{
}

std::string EventCursor::feed(std::string_view bytes)
{
    if (this->foundFault)
        return {};
    // The buffered bytes complete no event, so an event can only end in the new ones. Its end may begin before them.
    const auto searched = this->partial.size() - std::min(this->partial.size(), maxEndLength - 1);
    this->partial.append(bytes);
    const auto found = lengthOfCompleteEvents(std::string_view(this->partial).substr(searched));
    if (!found)
        return {};
    const auto length = searched + found;
    std::string complete = this->partial.substr(0, length);
    this->partial.erase(0, length);
    if (this->partial.capacity() > maxKeptCapacity)
        this->partial.shrink_to_fit();
    complete.resize(this->recordEvents(complete));
    return complete;
}

void EventCursor::dropPartial()
{
    this->partial.clear();
    this->partial.shrink_to_fit();
    this->foundFault.reset();
    this->mustContinue = isNumber(this->lastEventId);
}

size_t EventCursor::recordEvents(std::string_view complete)
{
    size_t recorded = 0; // bytes
    Event event;
    for (size_t at = 0; at < complete.size();) {
        const auto end = complete.find('\n', at);
        auto line = complete.substr(at, end - at);
        at = end + 1;
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (!line.empty()) {
            event.addLine(line);
            continue;
        }
        this->foundFault = this->record(event);
        if (this->foundFault)
            break;
        event = {};
        recorded = at;
    }
    return recorded;
}

std::optional<EventFault> EventCursor::record(const Event& event)
{
    if (event.isMalformed || (event.hasOtherField && !event.hasStandardField))
        return EventFault::Malformed;
    if (!event.id && !event.hasData)
        return std::nullopt;
    const bool isPlaced = event.id && isNumber(*event.id);
    if (this->mustContinue && !isPlaced)
        return EventFault::Unplaced;
    if (isPlaced && isNumber(this->lastEventId) && !isGreater(*event.id, this->lastEventId))
        return EventFault::OutOfOrder;
    if (event.id)
        this->lastEventId = std::string(*event.id);
    this->isLastPlaced = isPlaced;
    this->mustContinue = false;
    ++this->eventCount;
    return std::nullopt;
}

}

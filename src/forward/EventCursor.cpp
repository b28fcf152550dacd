#include "forward/EventCursor.h"

#include <algorithm>

namespace dragonfly::forward {

namespace {

    /// Length of the whole events at the beginning of @p text: behind the last empty line.
    size_t lengthOfWholeEvents(std::string_view text)
    {
        const auto plain = text.rfind("\n\n");
        const auto withReturn = text.rfind("\n\r\n");
        const auto endPlain = plain == std::string_view::npos ? 0 : plain + 2;
        const auto endWithReturn = withReturn == std::string_view::npos ? 0 : withReturn + 3;
        return std::max(endPlain, endWithReturn);
    }

    std::string_view trimmed(std::string_view text)
    {
        if (!text.empty() && text.front() == ' ')
            text.remove_prefix(1);
        if (!text.empty() && text.back() == '\r')
            text.remove_suffix(1);
        return text;
    }

}

std::string EventCursor::feed(std::string_view bytes)
{
    this->partial.append(bytes);
    const auto length = lengthOfWholeEvents(this->partial);
    std::string whole = this->partial.substr(0, length);
    this->partial.erase(0, length);
    this->noteEvents(whole);
    return whole;
}

void EventCursor::noteEvents(std::string_view whole)
{
    constexpr std::string_view idField = "id:";
    bool isInEvent = false;
    while (!whole.empty()) {
        const auto end = whole.find('\n');
        const auto line = whole.substr(0, end);
        if (line.starts_with(idField))
            this->id = std::string(trimmed(line.substr(idField.size())));
        const bool isEmpty = line.empty() || line == "\r";
        this->events += isEmpty && isInEvent;
        isInEvent = !isEmpty;
        whole = end == std::string_view::npos ? std::string_view() : whole.substr(end + 1);
    }
}

}

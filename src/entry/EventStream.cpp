#include "entry/EventStream.h"

namespace dragonfly::entry {

namespace {

    constexpr size_t maxEventBytes = 1 << 20;
    constexpr std::string_view separator = "\n\n";
    constexpr std::string_view dataField = "data:";

    std::string eventData(std::string_view event)
    {
        std::string data;
        while (!event.empty()) {
            const auto end = event.find('\n');
            auto line = event.substr(0, end);
            event = end == std::string_view::npos ? std::string_view() : event.substr(end + 1);
            if (!line.empty() && line.back() == '\r')
                line.remove_suffix(1);
            if (!line.starts_with(dataField))
                continue;
            line.remove_prefix(dataField.size());
            if (line.starts_with(' '))
                line.remove_prefix(1);
            if (!data.empty())
                data.push_back('\n');
            data.append(line);
        }
        return data;
    }

}

bool EventStreamReader::feed(std::string_view bytes, const std::function<bool(std::string_view)>& onData)
{
    this->buffer.append(bytes);
    size_t start = 0;
    for (auto end = this->buffer.find(separator); end != std::string::npos; end = this->buffer.find(separator, start)) {
        const auto data = eventData(std::string_view(this->buffer).substr(start, end - start));
        start = end + separator.size();
        if (!data.empty() && !onData(data))
            return true;
    }
    this->buffer.erase(0, start);
    return this->buffer.size() <= maxEventBytes;
}

std::string toEvent(std::string_view data)
{
    return std::string("data: ").append(data).append("\n\n");
}

std::string toNamedEvent(std::string_view name, std::string_view data)
{
    return std::string("event: ").append(name).append("\n").append(toEvent(data));
}

}

#include "streams/StreamStarts.h"

#include "base/Digest.h"
#include "streams.pb.h"

#include <algorithm>
#include <set>

namespace dragonfly::streams {

namespace {

    /// Limit on the starts of this instance, ten times what the design rate of 66 requests a second adds in 20 s.
    constexpr size_t maxOwnStarts = 16u << 10;
    /// Limit on a record, twice what an instance writes; bounds the memory that another writer's record could take.
    constexpr size_t maxRecordBytes = 128u << 10;
    constexpr std::chrono::seconds expiryInterval { 1 };

}

StreamId streamIdOf(const std::string& organisation, const std::string& requestId)
{
    return fastHash(requestId, fastHash(organisation));
}

std::string encodeStarts(const std::vector<StreamStart>& starts)
{
    std::map<std::string, pb::VersionStreams> byVersion;
    for (const auto& start : starts) {
        auto& streams = byVersion[start.version];
        if (start.isBegun)
            streams.add_begun(start.stream);
        else
            streams.add_sent(start.stream);
    }
    pb::StreamStarts record;
    for (auto& [version, streams] : byVersion) {
        streams.set_version(version);
        *record.add_versions() = std::move(streams);
    }
    return record.SerializeAsString();
}

std::optional<std::vector<StreamStart>> decodeStarts(const std::string& bytes)
{
    pb::StreamStarts record;
    if (bytes.size() > maxRecordBytes || !record.ParseFromString(bytes))
        return std::nullopt;
    std::vector<StreamStart> starts;
    for (const auto& streams : record.versions()) {
        for (const auto stream : streams.sent())
            starts.push_back({ stream, streams.version(), false });
        for (const auto stream : streams.begun())
            starts.push_back({ stream, streams.version(), true });
    }
    return starts;
}

void StreamStarts::add(const std::string& service, StreamStart start, Clock::time_point now)
{
    this->expire(now);
    if (this->own.size() >= maxOwnStarts)
        this->own.pop_front();
    this->own.push_back({ service, std::move(start), now });
}

std::vector<StreamStart> StreamStarts::recent(const std::string& service, Clock::time_point now) const
{
    std::vector<StreamStart> starts;
    for (const auto& each : this->own) {
        if (each.service == service && each.addedAt + this->retention() > now)
            starts.push_back(each.start);
    }
    return starts;
}

void StreamStarts::applyRecord(const std::string& key, std::vector<StreamStart> starts, Clock::time_point now)
{
    this->expire(now);
    this->records[key] = { std::move(starts), now };
}

std::optional<Evidence> StreamStarts::evidenceOf(StreamId stream) const
{
    std::set<std::string> sent;
    std::set<std::string> begun;
    bool isOwn = false;
    const auto look = [&](const StreamStart& start) {
        if (start.stream == stream)
            (start.isBegun ? begun : sent).insert(start.version);
    };
    for (const auto& each : this->own) {
        look(each.start);
        isOwn = isOwn || each.start.stream == stream;
    }
    for (const auto& [key, record] : this->records)
        std::ranges::for_each(record.starts, look);
    const auto& decisive = begun.empty() ? sent : begun;
    if (decisive.size() != 1)
        return std::nullopt;
    return Evidence { *decisive.begin(), isOwn || !begun.empty() };
}

void StreamStarts::expire(Clock::time_point now)
{
    if (now < this->nextExpiry)
        return;
    this->nextExpiry = now + expiryInterval;
    const auto retention = this->retention();
    while (!this->own.empty() && this->own.front().addedAt + retention <= now)
        this->own.pop_front();
    std::erase_if(this->records, [&](const auto& each) { return each.second.receivedAt + retention <= now; });
}

}

#include "streams/StreamOrigins.h"

#include "observe/Log.h"

#include <algorithm>

namespace dragonfly::streams {

using std::chrono::milliseconds;

namespace {

    /// Share of the service's writes that the records of all instances may take.
    constexpr double usedWrites = 0.15;
    /// A start is recorded before most streams break; the first event takes about as long.
    constexpr milliseconds minWriteInterval { 100 };

}

std::string_view toString(OriginSource source)
{
    return source == OriginSource::Recorded ? "recorded" : "only version";
}

StreamOrigins::StreamOrigins(const OriginSettings& settings, store::WatchableStore& store,
    const directory::Directory& directory, observe::Metrics& metrics)
    : metrics(metrics)
    , writesPerSecond(settings.storeWritesPerSecond * usedWrites)
    , registry(store, directory, metrics, settings.versions)
    , recorder(settings.instance, store, metrics)
{
    this->starts.retention = [this] { return this->registry.retention(); };
    this->recorder.retention = this->starts.retention;
    const auto count = [this] { return this->instanceCount ? this->instanceCount() : 1; };
    this->registry.instanceCount = count;
    this->recorder.writeInterval = [this, count] {
        const auto interval = std::chrono::duration<double>(static_cast<double>(count()) / this->writesPerSecond);
        return std::max(minWriteInterval, std::chrono::ceil<milliseconds>(interval));
    };
    this->registry.onMixed = [this](const std::string& service) { this->recordRecent(service); };
}

void StreamOrigins::recordRecent(const std::string& service)
{
    const auto now = Clock::now();
    const auto recent = this->starts.recent(service, now);
    if (!recent.empty())
        this->recorder.add(recent, now);
}

void StreamOrigins::onStoreReturned()
{
    this->recorder.onStoreReturned();
    for (const auto& service : this->registry.mixedServices())
        this->recordRecent(service);
}

bool StreamOrigins::applyRecord(const store::KeyValue& record, bool exists)
{
    if (record.key == VersionRegistry::key) {
        this->registry.onRecord(record, exists);
        return true;
    }
    if (!record.key.starts_with(StartRecorder::keyPrefix))
        return false;
    if (this->recorder.isOwn(record.key))
        return true;
    if (!exists) {
        this->starts.removeRecord(record.key);
        return true;
    }
    auto read = decodeStarts(record.value);
    if (read) {
        this->starts.applyRecord(record.key, std::move(*read), Clock::now());
    } else {
        this->metrics.recordsRefused.Increment();
        observe::logRefusedRecord(
            observe::LogLevel::Warning, "invalid record of stream starts refused", { { "key", record.key } });
    }
    return true;
}

bool StreamOrigins::onRecordLost(const std::string& key)
{
    if (key == VersionRegistry::key)
        this->registry.onRecord({ key, {}, 0 }, false);
    return key == VersionRegistry::key || key.starts_with(StartRecorder::keyPrefix);
}

std::optional<Origin> StreamOrigins::originOf(
    const directory::Route& route, std::optional<StreamId> stream, BootClock::time_point arrivedAt) const
{
    std::set<std::string> versions;
    for (const auto& share : route.shares) {
        if (share.weight)
            versions.merge(this->registry.versionsOf(share.service));
    }
    const bool isRecent = this->hasReadUpTo(arrivedAt - this->registry.openDelay());
    if (const auto evidence = stream ? this->starts.evidenceOf(*stream) : std::nullopt) {
        if (!evidence->isDecisive && !this->hasReadUpTo(arrivedAt))
            return std::nullopt;
        // A target of the version may have restarted as one of another since older records were written.
        if (versions.size() > 1 && !isRecent)
            return std::nullopt;
        return Origin { evidence->version, OriginSource::Recorded };
    }
    // No stream that has begun elsewhere was resumed by then, as none begins at a version that was just opened.
    if (versions.size() != 1 || !isRecent)
        return std::nullopt;
    return Origin { *versions.begin(), OriginSource::OnlyVersion };
}

uint64_t StreamOrigins::add(const std::string& service, const StreamStart& start)
{
    const auto now = Clock::now();
    this->starts.add(service, start, now);
    return this->registry.isMixed(service) ? this->recorder.add({ start }, now) : 0;
}

}

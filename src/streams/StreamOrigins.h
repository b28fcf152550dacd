#pragma once
// The software versions at which streams may begin, and at which each began that a caller resumes.
//
// What two versions write does not fit together, and targets do not check it, so a stream is resumed at the version
// that began it or not at all. While streams of a service may have begun at one version only, that is known without
// a record of each (ServiceVersions.h). Otherwise the start of each stream is recorded as soon as it is sent to a
// target, so that any instance can resume it, also after all were killed.

#include "directory/Directory.h"
#include "streams/StartRecorder.h"
#include "streams/StreamStarts.h"
#include "streams/VersionRegistry.h"

namespace dragonfly::streams {

struct OriginSettings {
    std::string instance;
    double storeWritesPerSecond = 400; ///< calls that the platform's service takes from all instances together
    VersionTimings versions;
};

/// How the version at which a stream began is known.
enum class OriginSource {
    OnlyVersion, ///< all streams that may still be resumed began there
    Recorded, ///< by this instance or by another one
};

struct Origin {
    std::string version;
    OriginSource source = OriginSource::OnlyVersion;
};

std::string_view toString(OriginSource source);

class StreamOrigins : public QObject {
    Q_OBJECT
public:
    StreamOrigins(const OriginSettings& settings, store::WatchableStore& store, const directory::Directory& directory,
        observe::Metrics& metrics);

    /// Applies a record that was written (@p exists) or removed. Returns false if it is not one of this module.
    bool applyRecord(const store::KeyValue& record, bool exists);
    /// Keeps what a record said that the service lost in a return from an older copy. Returns false if it is not one of
    /// this module.
    bool onRecordLost(const std::string& key);
    void onWholeRead()
    {
        this->registry.onWholeRead();
    }
    /// To be called when the service has returned from an older copy, which lacks the latest records.
    void onStoreReturned();
    /// To be called when a target was registered or has changed.
    void onTargetsChanged()
    {
        this->registry.update();
    }

    /// Whether a stream may begin at @p target.
    bool mayBeginAt(const directory::Target& target) const
    {
        const auto& registration = target.registration;
        return this->registry.isOpen(registration.service, registration.softwareVersion)
            && !this->isVersionDoubted(target);
    }
    /// Whether the process of @p target may have been replaced by one of another version.
    bool isVersionDoubted(const directory::Target& target) const
    {
        return target.isDoubted && this->registry.isMixed(target.registration.service);
    }
    /// At which version @p stream of @p route began; nothing if that is not known, or not yet.
    /// @param stream nothing if its caller names no stream
    /// @param arrivedAt when its caller asked to resume it
    std::optional<Origin> originOf(
        const directory::Route& route, std::optional<StreamId> stream, BootClock::time_point arrivedAt) const;
    /// Whether all records that existed at @p moment have been read.
    bool hasReadUpTo(BootClock::time_point moment) const
    {
        return this->recordsAsOf && this->recordsAsOf() >= moment;
    }
    /// Keeps @p start of a stream at @p service, and records it while streams of the service began at several versions.
    /// Returns a number for isRecorded().
    uint64_t add(const std::string& service, const StreamStart& start);
    /// Whether every instance can read the start for which add() returned @p number, or need not.
    bool isRecorded(uint64_t number) const
    {
        return this->recorder.areWritten(number);
    }

    std::function<size_t()> instanceCount; ///< known instances, this one included
    std::function<BootClock::time_point()> recordsAsOf; ///< a moment up to which all records have been read

private:
    void recordRecent(const std::string& service);

    observe::Metrics& metrics;
    double writesPerSecond; ///< of all instances together
    VersionRegistry registry;
    StreamStarts starts;
    StartRecorder recorder;
};

}

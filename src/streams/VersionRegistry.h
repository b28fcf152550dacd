#pragma once
// Keeps the record of the versions at which streams may have begun (ServiceVersions.h) in step with the targets that
// this instance knows. Every instance does so; a conditional write keeps one from undoing the change of another.

#include "directory/Directory.h"
#include "observe/Metrics.h"
#include "store/KeyValueStore.h"
#include "streams/ServiceVersions.h"

#include <QObject>
#include <QTimer>

namespace dragonfly::streams {

struct VersionTimings {
    /// Streams begin at a version so long after an instance learned that it was recorded beside others. All instances
    /// that can take up one of these streams know it by then: a second for which the service's watches may miss
    /// changes, two watches of 300 ms by way of a peer, and a margin.
    std::chrono::milliseconds openDelay { 2000 };
    /// A version without a target for so long is closed. Longer than a target takes to register again, and than
    /// openDelay, so that all instances know a version that was closed.
    std::chrono::milliseconds closeDelay { 3000 };
    /// A closed version is removed after so long, or longer if routes allow streams more time (retention()).
    std::chrono::milliseconds minRetention { 20000 };
    /// An instance whose records are older accepts no requests, as its configuration is not proved to be current.
    std::chrono::milliseconds maxRecordAge { 5000 };
    std::chrono::milliseconds checkInterval { 250 };
    std::chrono::milliseconds retryBackoff { 200 };
};

class VersionRegistry : public QObject {
    Q_OBJECT
public:
    static constexpr const char* key = "dragonfly/stream-versions";

    VersionRegistry(store::KeyValueStore& store, const directory::Directory& directory, observe::Metrics& metrics,
        const VersionTimings& timings = {});

    /// Applies the record as it was written (@p exists) or removed.
    void onRecord(const store::KeyValue& record, bool exists);
    /// To be called when all records have been read: from then on a record that was not seen does not exist.
    void onWholeRead();
    /// Writes the record if the targets require it, as soon as that is allowed.
    void update();

    /// Whether streams may begin at a target of @p version.
    bool isOpen(const std::string& service, const std::string& version) const;
    /// Whether streams of @p service that may still be resumed began at more than one version.
    bool isMixed(const std::string& service) const;
    /// Those versions; none if they are not known.
    std::set<std::string> versionsOf(const std::string& service) const;

    std::chrono::milliseconds openDelay() const
    {
        return this->timings.openDelay;
    }
    /// How long after its start a stream may be resumed: until the end of its caller's time, which may exceed that of
    /// the route, later by the age of the record by which an instance may still begin streams.
    std::chrono::milliseconds retention() const;
    std::set<std::string> mixedServices() const;

    std::function<void(const std::string& service)> onMixed; ///< called when isMixed() becomes true
    std::function<size_t()> instanceCount; ///< known instances, this one included

private:
    using VersionTimes = std::map<std::pair<std::string, std::string>, Clock::time_point>; ///< by service and version

    VersionObservations observe(Clock::time_point now);
    void apply(ServiceVersions next);
    void write(const ServiceVersions& next);
    void onWritten(const ServiceVersions& next, const store::SwapResult& result);

    store::KeyValueStore& store;
    const directory::Directory& directory;
    observe::Metrics& metrics;
    VersionTimings timings;
    ServiceVersions versions; ///< all that are known; more than in the record after a return to an older one
    ServiceVersions stored; ///< the content of the record
    int64_t revision = 0; ///< of the record; 0: none exists
    bool isRead = false;
    VersionTimes lastRegistered; ///< when each version last had a target that takes requests, or was first recorded
    VersionTimes settledFrom; ///< of each opening version of `versions`: when all instances know it
    VersionTimes closedSince; ///< when this instance learned that a version is closed
    bool isCallInFlight = false;
    std::optional<Clock::time_point> writeAt; ///< earliest time of the next write; unset while none is needed
    QTimer timer;
};

}

#pragma once
// Keeps the directory in step with the platform's records.
//
// A whole read of the deployment, the targets and the wanted weights is followed by consecutive watches, each
// starting at the revision up to which all changes are known. A watch without changes does not prove that nothing
// changed, so the revision of the deployment is checked periodically as well. When the source no longer has the
// changes after that revision, everything is read again.
//
// The same is done when the platform's store has returned from an older copy (store/Revision.h). What this instance
// knows to be newer than a record of the copy stays in force: deployments by their version, targets by the numbers of
// their records. The records that the router itself wrote may be lost then.

#include "directory/Directory.h"
#include "directory/RecordDecoder.h"
#include "directory/RecordHistory.h"
#include "directory/RevisionTimes.h"
#include "observe/Metrics.h"
#include "store/KeyValueStore.h"

#include <QObject>
#include <QTimer>

namespace dragonfly::directory {

class DirectorySync : public QObject {
    Q_OBJECT
public:
    DirectorySync(
        store::RecordSource& records, const RecordDecoder& decoder, Directory& directory, observe::Metrics& metrics);

    void start();
    /// Checks at once whether the configuration is still the newest, unless a check is in progress.
    void checkRevisionNow();

    /// Whether the latest call for records succeeded, at the platform's service or at a peer, and the records have been
    /// read since the platform's store last returned from an older copy.
    bool isReachable() const
    {
        return this->reachable && !this->isReadingAfterReturn;
    }
    /// Counts the known returns of the platform's store from older copies; 0 if the store does not count them.
    int64_t storeEra() const
    {
        return this->era;
    }
    /// History of the changes received, for peers that follow the records through this instance.
    const RecordHistory& changes() const
    {
        return this->history;
    }
    /// A moment at which the records had no higher revision than that of changes(); the epoch if none is known.
    BootClock::time_point changesAsOf() const
    {
        return this->revisionTimes.lowerBound(this->history.revision() + 1);
    }
    /// Revision of the deployment record in force; 0 if the records have none or only an older one.
    int64_t revisionInForce() const
    {
        return this->isRecordInForce ? this->deploymentRevision : 0;
    }
    /// Called when changes were received or isReachable() changed.
    std::function<void()> onProgress;
    /// Prefix of the records that the router itself writes. onFollowedRecord is called for each such record that is
    /// read, written or removed; @p exists is false if it does not exist.
    std::string followedPrefix;
    std::function<void(const store::KeyValue& record, bool exists)> onFollowedRecord;
    bool hasFollowedRecord(const std::string& key) const
    {
        return this->followed.contains(key);
    }
    /// Called when the platform's store has returned from an older copy: leases granted before may have ended, or may
    /// have been granted to others under the same id.
    std::function<void()> onStoreReturned;
    /// Called instead of onFollowedRecord for each record that the store lost in such a return.
    std::function<void(const std::string& key)> onFollowedRecordLost;
    /// Called at the end of each whole read.
    std::function<void()> onWholeRead;

private:
    /// The parts of a whole read, which are requested concurrently.
    enum class Section { Targets, Weights, Followed, Deployment };

    /// One write of a record.
    struct RecordVersion {
        int64_t revision = 0;
        uint64_t valueHash = 0;

        /// Whether a record that the store returned after a return from a copy is this one, written before.
        bool isSameWriteInCopy(const RecordVersion& returned) const;
    };
    struct RemovedTarget {
        RecordVersion last;
        Deadline rememberedUntil;
    };
    static RecordVersion versionOf(const store::KeyValue& pair);

    /// Start of one page of a whole read.
    struct PagePosition {
        Section section;
        std::string after; ///< the page starts after this key
    };

    void readAll();
    void readPage(const PagePosition& position);
    void onPage(const PagePosition& position, BootClock::time_point queriedAt, const store::PageResult& result);
    void retryFailedPages();
    void completeRead();
    std::string prefixOf(Section section) const;

    void watch();
    void scheduleWatch();
    void onWatchResult(const store::WatchResult& result);
    std::chrono::milliseconds backoff() const;

    void scheduleRevisionCheck();
    void reportRecordsAge();
    void sendRevisionCheck();
    void onRevisionChecked(const store::CheckResult& result, int64_t expected, BootClock::time_point queriedAt);

    bool isOutdated(int64_t revision) const;
    void enterEra(int64_t newEra);

    void applyChange(const store::Change& change);
    void applyDeployment(const store::KeyValue& pair, BootClock::time_point readAt);
    void applyTarget(const store::Change& change);
    bool isOlderTargetRecord(const Registration& registration) const;
    void forgetTarget(const std::string& key);
    void applyFollowed(const store::KeyValue& record, bool exists);
    void applyWeights(const store::KeyValue& pair);
    Deadline gracePeriodDeadline() const;
    void removeAbsentTargets();
    void scheduleAbsentTargetRemoval();
    void recordCall(bool succeeded);
    void notifyProgress();

    store::RecordSource& records;
    const RecordDecoder& decoder;
    Directory& directory;
    observe::Metrics& metrics;
    RecordHistory history;
    QTimer retryTimer;
    QTimer watchTimer;
    QTimer revisionCheckTimer;
    QTimer gracePeriodTimer;

    uint64_t readId = 0; ///< identifies the current whole read; answers to earlier reads are ignored
    size_t pendingSections = 0;
    std::vector<PagePosition> failedPages; ///< pages of the current whole read that are to be requested again
    int64_t readRevision = 0; ///< lowest revision among the pages of the current whole read
    /// The deployment that was read, and when its query was sent. Requests are accepted as soon as a deployment is
    /// in force, so it is applied only once targets and weights are known.
    std::optional<std::pair<store::KeyValue, BootClock::time_point>> readDeployment;
    std::set<std::string> listed; ///< keys returned by the current whole read
    std::map<std::string, RecordVersion> followed; ///< existing records below followedPrefix, by key
    int64_t era = 0; ///< of the latest answer; answers of an earlier era are ignored
    bool isReadingAfterReturn = false; ///< from the first answer of a new era until all records have been read in it
    uint64_t watchId = 0; ///< identifies the current watch; answers to earlier ones are ignored
    int64_t watchedRevision = 0; ///< all changes up to this revision are applied; 0 before the first whole read
    RevisionTimes revisionTimes;
    Clock::time_point nextWatchAt; ///< earliest start of the next watch, so that one answer collects several changes
    int64_t deploymentRevision = 0; ///< of the latest valid deployment record; 0: none
    bool isRecordInForce = false; ///< that record is the deployment in force, not an older one
    std::map<std::string, RecordVersion> targetRecords; ///< by key; older versions of a record are ignored
    /// Targets whose records were removed: they may return with an older copy of the store.
    std::map<std::string, RemovedTarget> removedTargets;
    Clock::time_point nextForgetAt; ///< when expired ones are dropped next
    /// Registrations that were missing right after an outage, by key, and when their targets count as gone. They may
    /// have expired although the targets still run; those register again before.
    std::map<std::string, Deadline> absentTargets;
    Deadline gracePeriodEnd; ///< of the latest outage in which calls for records failed
    bool isFollowing = true; ///< the records were recent when their age was last reported
    bool reachable = false;
    int failures = 0; ///< consecutive failed calls
};

}

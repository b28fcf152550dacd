#pragma once
// Keeps the directory up to date from the platform's service.
//
// A whole read of the deployment, the list of targets and the named weights is followed by watches, each behind
// the revision up to which everything is known. A watch that hears nothing proves nothing, so the deployment's
// revision is checked in short intervals. Everything is read anew when the history of changes is gone.

#include "directory/Directory.h"
#include "directory/RecordDecoder.h"
#include "directory/RecordHistory.h"
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

    /// Whether the last call for records succeeded, at the platform's service or at a peer.
    bool isReachable() const
    {
        return this->reachable;
    }
    /// Changes that were seen, for those that learn of them from here.
    const RecordHistory& changes() const
    {
        return this->history;
    }
    /// Revision of the deployment that is in force; 0: none was read.
    int64_t revisionInForce() const
    {
        return this->deploymentRevision;
    }
    /// Called when changes were seen, or the platform's service was lost or regained.
    std::function<void()> onProgress;
    /// Records of the product's own parts below this prefix: onFollowed tells whenever one was seen to exist or not.
    std::string followedPrefix;
    std::function<void(const store::KeyValue& record, bool exists)> onFollowed;
    bool isFollowed(const std::string& key) const
    {
        return this->followed.contains(key);
    }
    /// Called when everything has been read, at the start and after each gap.
    std::function<void()> onWholeRead;

private:
    /// What a whole read consists of; all of it is asked for at once.
    enum class Section { Targets, Weights, Followed, Deployment };

    /// Where a page of a whole read begins.
    struct PagePlace {
        Section section;
        std::string after; ///< key behind which it begins
    };

    void readAll();
    void readPage(const PagePlace& place);
    void onPage(const PagePlace& place, BootClock::time_point askedAt, const store::PageResult& result);
    void readRefusedPages();
    void finishReading();
    std::string prefixOf(Section section) const;

    void watch();
    void watchAgain();
    void onWatch(const store::WatchResult& result);
    std::chrono::milliseconds pauseAfterFailure() const;

    void scheduleProof();
    void checkProof();
    void onChecked(const store::CheckResult& result, BootClock::time_point askedAt);

    /// @param changedAt not after the change
    void take(const store::Change& change, Clock::time_point changedAt);
    void takeDeployment(const store::KeyValue& pair, BootClock::time_point readAt);
    void takeTarget(const store::Change& change);
    void takeFollowed(const store::KeyValue& record, bool exists);
    void takeWeights(const store::KeyValue& pair, Clock::time_point namedAt);
    void removeAbsent();
    void noteCall(bool succeeded);
    void noteProgress();

    store::RecordSource& records;
    const RecordDecoder& decoder;
    Directory& directory;
    observe::Metrics& metrics;
    RecordHistory history;
    QTimer retryTimer;
    QTimer watchTimer;
    QTimer proofTimer;
    QTimer absenceTimer;

    uint64_t readNumber = 0; ///< of the whole read under way; answers to earlier ones are ignored
    size_t sectionsLeft = 0;
    std::vector<PagePlace> refusedPages; ///< of the whole read under way, to be asked for again
    int64_t readRevision = 0; ///< the smallest of the whole read's pages
    /// The deployment that was read, and when it was asked for. Once one is in force requests are taken, so it
    /// waits until targets and weights are known.
    std::optional<std::pair<store::KeyValue, BootClock::time_point>> readDeployment;
    std::set<std::string> listed; ///< targets seen by the whole read
    std::set<std::string> followed; ///< followed keys that exist
    Clock::time_point currentAt; ///< all that had changed before was known; the epoch before the first whole read
    int64_t watchedRevision = 0; ///< changes up to here are known
    Clock::time_point nextWatchAt; ///< not before, so that quick changes come in few answers
    int64_t deploymentRevision = 0; ///< of the record that is in force; 0: none was read
    std::map<std::string, int64_t> targetRevisions; ///< of each target's record, so that no older one is taken
    /// Records that were missing right after an outage. They may have lapsed during it although their targets
    /// live, and those register again until absenceDeadline.
    std::set<std::string> absent;
    Deadline absenceDeadline;
    bool reachable = false;
    int failures = 0; ///< in a row
};

}

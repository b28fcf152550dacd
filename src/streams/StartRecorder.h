#pragma once
// Records at the platform's service at which version streams of this instance were sent or began.
//
// The starts of about a second share one record, which is written again as it grows. The records expire by their lease.

#include "observe/Metrics.h"
#include "quarantine/RecordPublisher.h"
#include "store/KeyValueStore.h"
#include "streams/StreamStarts.h"

#include <QObject>
#include <QTimer>

namespace dragonfly::streams {

class StartRecorder : public QObject {
    Q_OBJECT
public:
    static constexpr std::string_view keyPrefix = "dragonfly/stream-starts/";

    StartRecorder(const std::string& instance, store::WatchableStore& store, observe::Metrics& metrics);

    /// Adds starts to the current record, which is written soon. Returns the number of starts added so far.
    uint64_t add(const std::vector<StreamStart>& starts, Clock::time_point now);
    /// Whether the first @p count starts that were added have been written.
    bool areWritten(uint64_t count) const
    {
        return this->written >= count;
    }
    /// To be called when the service has returned from an older copy, which may have granted the lease to others.
    void onStoreReturned()
    {
        this->publisher.onStoreReturned();
    }
    /// Whether @p key is that of a record of this process.
    bool isOwn(const std::string& key) const
    {
        return key.starts_with(this->ownPrefix);
    }
    std::function<std::chrono::milliseconds()> retention; ///< how long the records are needed
    std::function<std::chrono::milliseconds()> writeInterval; ///< shortest time between the starts of two writes

private:
    void write();

    std::string ownPrefix; ///< distinguishes the records of this process from those of an earlier one
    quarantine::RecordPublisher publisher;
    uint64_t number = 0; ///< of the current record
    Clock::time_point begunAt; ///< when the current record got its first start
    std::vector<StreamStart> current; ///< the content of the current record
    uint64_t added = 0; ///< starts so far
    uint64_t addedAtWrite = 0; ///< added when the latest write began
    uint64_t written = 0; ///< of these, those before which all are written
    size_t writtenStarts = 0; ///< those of current that the latest write contains
    bool isWriting = false;
    Clock::time_point nextWriteAt;
    QTimer timer;
};

}

#pragma once
// Writes records to the platform's service under a lease of this instance, at a bounded rate.
//
// The lease is granted with the first record and replaced when half of its time is over. It is never renewed, so the
// records expire by themselves. A failed write is repeated a few times.

#include "base/Base.h"
#include "observe/Metrics.h"
#include "store/KeyValueStore.h"

#include <QObject>
#include <QTimer>
#include <deque>
#include <functional>
#include <string>
#include <string_view>

namespace dragonfly::quarantine {

struct PublisherSettings {
    /// Records exist for at least half of this time.
    std::chrono::seconds leaseTtl { 1800 };
    /// Between the starts of two writes.
    std::chrono::milliseconds writeInterval { 250 };
    /// After a failed call, doubled with each further one up to eight times this.
    std::chrono::milliseconds retryBackoff { 400 };
    std::string_view content = "prompt evidence"; ///< what the records hold, for log lines
};

class RecordPublisher : public QObject {
    Q_OBJECT
public:
    RecordPublisher(store::WatchableStore& store, observe::Metrics& metrics, const PublisherSettings& settings);

    enum class Urgency {
        Ordinary,
        Urgent, ///< written before all ordinary records that wait
    };

    /// Writes @p value to @p key soon. The oldest ordinary record that waits is dropped when too many do.
    void write(const std::string& key, const std::string& value, Urgency urgency = Urgency::Ordinary);
    /// Removes @p key soon, after the writes that wait.
    void remove(const std::string& key);
    /// Sets for how long the next lease is granted.
    void setLeaseTtl(std::chrono::seconds ttl)
    {
        this->settings.leaseTtl = ttl;
    }
    /// To be called when the service has returned from an older copy, which may have granted the lease to others.
    void onStoreReturned()
    {
        this->lease.reset();
    }
    /// Called once for each record to be written: whether it was.
    std::function<void(const std::string& key, bool isWritten)> onDone;

private:
    struct Record {
        std::string key;
        std::optional<std::string> value; ///< nullopt to remove the key
        Urgency urgency = Urgency::Ordinary;
        int failures = 0;
    };

    void enqueue(Record record);
    void writeNext();
    void grantLease();
    void put();
    void onWritten(const store::WriteResult& result);
    void onFailure(const char* reason);
    void finish(const Record& record, bool isWritten);

    store::WatchableStore& store;
    observe::Metrics& metrics;
    PublisherSettings settings;
    std::deque<Record> waiting; ///< the first is in flight or next; behind it urgent records come before others
    std::optional<int64_t> lease;
    BootClock::time_point leaseGrantedAt; ///< a moment before the lease was granted
    Deadline nextCallAt; ///< earliest start of the next write
    bool isCallInFlight = false;
    QTimer timer;
};

}

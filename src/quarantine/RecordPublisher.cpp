#include "quarantine/RecordPublisher.h"

#include "observe/Log.h"

#include <algorithm>

namespace dragonfly::quarantine {

using observe::logChange;
using observe::LogLevel;

namespace {

    constexpr std::chrono::milliseconds callTimeout { 1000 };
    /// Records that wait at the same time; as many ends of targets at once are an outage, which other records show.
    constexpr size_t maxWaiting = 32;
    /// With the backoff of three seconds in the end these bridge an outage of the service of a minute.
    constexpr int maxFailures = 20;
    constexpr int maxDoublings = 3;

}

RecordPublisher::RecordPublisher(
    store::WatchableStore& store, observe::Metrics& metrics, const PublisherSettings& settings)
    : store(store)
    , metrics(metrics)
    , settings(settings)
{
    this->timer.setSingleShot(true);
    connect(&this->timer, &QTimer::timeout, this, &RecordPublisher::writeNext);
}

void RecordPublisher::write(const std::string& key, const std::string& value, Urgency urgency)
{
    this->enqueue({ key, value, urgency });
}

void RecordPublisher::remove(const std::string& key)
{
    this->enqueue({ key, std::nullopt });
}

void RecordPublisher::enqueue(Record record)
{
    const auto findOrdinary = [this] {
        // The first record may be the one that is being written.
        return std::find_if(this->waiting.begin() + (this->isCallInFlight ? 1 : 0), this->waiting.end(),
            [](const Record& waits) { return waits.urgency == Urgency::Ordinary; });
    };
    if (this->waiting.size() >= maxWaiting) {
        auto oldest = findOrdinary();
        if (oldest == this->waiting.end())
            oldest = this->waiting.begin() + (this->isCallInFlight ? 1 : 0);
        const auto dropped = *oldest;
        this->waiting.erase(oldest);
        this->finish(dropped, false);
    }
    const auto place = record.urgency == Urgency::Urgent ? findOrdinary() : this->waiting.end();
    this->waiting.insert(place, std::move(record));
    this->writeNext();
}

void RecordPublisher::writeNext()
{
    if (this->waiting.empty() || this->isCallInFlight)
        return;
    const auto now = Clock::now();
    if (now < this->nextCallAt) {
        this->timer.start(remaining(this->nextCallAt, now));
        return;
    }
    if (this->lease && BootClock::now() < this->leaseGrantedAt + std::chrono::milliseconds(this->settings.leaseTtl) / 2)
        this->put();
    else
        this->grantLease();
}

void RecordPublisher::grantLease()
{
    this->isCallInFlight = true;
    this->leaseGrantedAt = BootClock::now();
    this->metrics.platformCalls.Increment();
    this->store.grantLease(
        this->settings.leaseTtl, Clock::now() + callTimeout, [this](const store::LeaseResult& result) {
            this->isCallInFlight = false;
            const auto* granted = std::get_if<int64_t>(&result);
            if (!granted) {
                this->onFailure("lease request failed");
                return;
            }
            this->lease = *granted;
            this->writeNext();
        });
}

void RecordPublisher::put()
{
    this->isCallInFlight = true;
    this->nextCallAt = Clock::now() + this->settings.writeInterval;
    this->metrics.platformCalls.Increment();
    const auto& record = this->waiting.front();
    const auto deadline = Clock::now() + callTimeout;
    const auto done = [this](const store::WriteResult& result) { this->onWritten(result); };
    if (record.value)
        this->store.put(record.key, *record.value, *this->lease, deadline, done);
    else
        this->store.remove(record.key, deadline, done);
}

void RecordPublisher::onWritten(const store::WriteResult& result)
{
    this->isCallInFlight = false;
    if (!std::holds_alternative<Success>(result)) {
        this->onFailure("writing the record failed");
        return;
    }
    const auto written = std::move(this->waiting.front());
    this->waiting.pop_front();
    this->finish(written, true);
    this->writeNext();
}

void RecordPublisher::onFailure(const char* reason)
{
    auto& record = this->waiting.front();
    const auto backoff = this->settings.retryBackoff * (1 << std::min(record.failures, maxDoublings));
    ++record.failures;
    logChange(LogLevel::Warning, std::string(this->settings.content) + " not published",
        { { "key", record.key }, { "reason", reason }, { "failures", std::to_string(record.failures) } });
    this->lease.reset(); // it may have ended
    this->nextCallAt = Clock::now() + backoff;
    if (record.failures >= maxFailures) {
        const auto dropped = std::move(record);
        this->waiting.pop_front();
        this->finish(dropped, false);
    }
    this->writeNext();
}

void RecordPublisher::finish(const Record& record, bool isWritten)
{
    if (!isWritten)
        logChange(LogLevel::Warning, std::string(this->settings.content) + " dropped", { { "key", record.key } });
    if (record.value && this->onDone)
        this->onDone(record.key, isWritten);
}

}

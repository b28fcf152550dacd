#include "streams/StartRecorder.h"

#include <algorithm>

namespace dragonfly::streams {

namespace {

    /// Period whose starts share one record. Bounds how often a start is written again.
    constexpr std::chrono::milliseconds recordPeriod { 1000 };
    /// Limit on the starts in one record while writes fail, 9 bytes each; the design rate is 66 a second.
    constexpr size_t maxStarts = 4096;
    /// The lease is replaced at half of its time, so the last records under it exist for half of it.
    constexpr int leasePerRetention = 3;
    constexpr std::chrono::milliseconds retryBackoff { 100 };

}

StartRecorder::StartRecorder(const std::string& instance, store::WatchableStore& store, observe::Metrics& metrics)
    : ownPrefix(std::string(keyPrefix) + instance + "/" + std::to_string(unixTime(WallClock::now()).count()) + "-"
        + randomId().substr(0, 8) + "-")
    , publisher(store, metrics,
          { .writeInterval = std::chrono::milliseconds(0), .retryBackoff = retryBackoff, .content = "stream starts" })
{
    this->timer.setSingleShot(true);
    connect(&this->timer, &QTimer::timeout, this, &StartRecorder::write);
    this->publisher.onDone = [this](const std::string&, bool isWritten) {
        this->isWriting = false;
        if (isWritten)
            this->written = this->addedAtWrite;
        this->write();
    };
}

uint64_t StartRecorder::add(const std::vector<StreamStart>& starts, Clock::time_point now)
{
    this->added += starts.size();
    if (this->current.empty())
        this->begunAt = now;
    this->current.insert(this->current.end(), starts.begin(), starts.end());
    if (this->current.size() > maxStarts) {
        const auto excess = this->current.size() - maxStarts;
        this->current.erase(this->current.begin(), this->current.begin() + static_cast<std::ptrdiff_t>(excess));
        this->writtenStarts -= std::min(this->writtenStarts, excess);
    }
    this->write();
    return this->added;
}

void StartRecorder::write()
{
    if (this->isWriting)
        return;
    const auto now = Clock::now();
    if (this->writtenStarts == this->current.size()) {
        if (!this->current.empty() && now >= this->begunAt + recordPeriod) {
            ++this->number;
            this->current.clear();
            this->writtenStarts = 0;
        }
        return;
    }
    if (now < this->nextWriteAt) {
        this->timer.start(remaining(this->nextWriteAt, now));
        return;
    }
    this->isWriting = true;
    this->publisher.setLeaseTtl(std::chrono::ceil<std::chrono::seconds>(this->retention() * leasePerRetention));
    this->nextWriteAt = now + this->writeInterval();
    this->writtenStarts = this->current.size();
    this->addedAtWrite = this->added;
    this->publisher.write(this->ownPrefix + std::to_string(this->number), encodeStarts(this->current));
}

}

#include "relay/RecordRelay.h"

#include "relay/PeerRecord.h"

#include <algorithm>

namespace dragonfly::relay {

namespace {

    /// Upper bound of the wait that a query may ask for.
    constexpr std::chrono::milliseconds maxWait { 2000 };
    /// Limit of peers whose queries wait at the same time; queries beyond it are answered at once. Well above the
    /// number of instances in one data centre.
    constexpr size_t maxPendingQueries = 512;

    uint64_t roundedUpAge(BootClock::time_point moment)
    {
        const auto age = std::chrono::ceil<std::chrono::milliseconds>(BootClock::now() - moment);
        return static_cast<uint64_t>(age.count());
    }

    void addChange(pb::RecordsReply& reply, const store::Change& change)
    {
        auto& added = *reply.add_changes();
        added.set_key(change.pair.key);
        added.set_value(change.pair.value);
        added.set_revision(change.pair.modRevision);
        added.set_removed(change.isRemoval);
    }

}

RecordRelay::RecordRelay(membership::PeerTransport& transport, const RelayedSource& source,
    const directory::DirectorySync& sync, const directory::Directory& directory, PeerRanking& ranking)
    : transport(transport)
    , source(source)
    , sync(sync)
    , directory(directory)
    , ranking(ranking)
{
    this->timer.setSingleShot(true);
    connect(&this->timer, &QTimer::timeout, this, &RecordRelay::answerPendingQueries);
}

void RecordRelay::onQuery(const std::string& replyTo, const pb::FollowRecords& query)
{
    if (const auto follower = fromRecord(query.follower()))
        this->ranking.addUnregistered(*follower);
    if (query.renew_connection())
        this->transport.drop(replyTo);
    const auto wait = std::min(maxWait, std::chrono::milliseconds(query.wait_ms()));
    const bool isFull = this->pendingQueries.size() >= maxPendingQueries && !this->pendingQueries.contains(replyTo);
    const PendingQuery pending { query.question(), query.after(), Clock::now() + (isFull ? wait * 0 : wait) };
    if (this->answerIfReady(replyTo, pending))
        return;
    this->pendingQueries[replyTo] = pending;
    this->scheduleNext();
}

void RecordRelay::answerPendingQueries()
{
    std::erase_if(
        this->pendingQueries, [this](const auto& entry) { return this->answerIfReady(entry.first, entry.second); });
    this->scheduleNext();
}

bool RecordRelay::answerIfReady(const std::string& replyTo, const PendingQuery& query)
{
    const auto age = this->directory.freshness.age(BootClock::now());
    const auto changes = this->sync.changes().since(query.after);
    const bool isCurrent = this->sync.isReachable() && changes && age;
    if (isCurrent && changes->empty() && Clock::now() < query.until)
        return false;
    // A peer that has just read from the platform's service may have a newer revision than this instance.
    const bool isKnown = isCurrent && this->sync.changes().revision() >= query.after;
    pb::PeerMessage message;
    auto& reply = *message.mutable_records_reply();
    reply.set_question(query.number);
    reply.set_known(isKnown);
    if (isKnown) {
        for (const auto& change : *changes)
            addChange(reply, change);
        reply.set_revision(this->sync.changes().revision());
        if (const auto asOf = this->sync.changesAsOf(); asOf != BootClock::time_point())
            reply.set_revision_age_ms(roundedUpAge(asOf));
        reply.set_deployment_revision(this->sync.revisionInForce());
        reply.set_first_hand(!this->source.followedInstance());
        // Rounded up, because the age must not be understated.
        reply.set_proof_age_ms(static_cast<uint64_t>(age->count()) + 1);
    }
    this->transport.send(replyTo, message);
    return true;
}

void RecordRelay::scheduleNext()
{
    if (this->pendingQueries.empty()) {
        this->timer.stop();
        return;
    }
    const auto next = std::min_element(this->pendingQueries.begin(), this->pendingQueries.end(),
        [](const auto& left, const auto& right) { return left.second.until < right.second.until; });
    this->timer.start(remaining(next->second.until, Clock::now()));
}

}

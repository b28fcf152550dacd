#include "relay/RecordRelay.h"

#include <algorithm>

namespace dragonfly::relay {

namespace {

    /// Longest that a question may ask to wait.
    constexpr std::chrono::milliseconds longestWait { 2000 };
    /// Peers that wait at the same time; further ones are told to ask somebody else. Well above the instances of
    /// one data centre.
    constexpr size_t mostWaiting = 512;

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
    const directory::DirectorySync& sync, const directory::Directory& directory)
    : transport(transport)
    , source(source)
    , sync(sync)
    , directory(directory)
{
    this->timer.setSingleShot(true);
    connect(&this->timer, &QTimer::timeout, this, &RecordRelay::answerWaiting);
}

void RecordRelay::onQuestion(const std::string& replyTo, const pb::FollowRecords& question)
{
    if (question.renew_connection())
        this->transport.drop(replyTo);
    const auto wait = std::min(longestWait, std::chrono::milliseconds(question.wait_ms()));
    const bool isFull = this->waiting.size() >= mostWaiting && !this->waiting.contains(replyTo);
    const Waiting asked { question.question(), question.after(), Clock::now() + (isFull ? wait * 0 : wait) };
    if (this->answerIfReady(replyTo, asked))
        return;
    this->waiting[replyTo] = asked;
    this->scheduleNext();
}

void RecordRelay::answerWaiting()
{
    std::erase_if(this->waiting, [this](const auto& entry) { return this->answerIfReady(entry.first, entry.second); });
    this->scheduleNext();
}

bool RecordRelay::answerIfReady(const std::string& replyTo, const Waiting& asked)
{
    const auto age = this->directory.freshness.age(BootClock::now());
    const auto changes = this->sync.changes().since(asked.after);
    const bool isSound = this->sync.isReachable() && changes && age;
    if (isSound && changes->empty() && Clock::now() < asked.until)
        return false;
    // A peer that was at the platform's service a moment ago may be ahead.
    const bool isKnown = isSound && this->sync.changes().revision() >= asked.after;
    pb::PeerMessage message;
    auto& reply = *message.mutable_records_reply();
    reply.set_question(asked.question);
    reply.set_known(isKnown);
    if (isKnown) {
        for (const auto& change : *changes)
            addChange(reply, change);
        reply.set_revision(this->sync.changes().revision());
        reply.set_deployment_revision(this->sync.revisionInForce());
        reply.set_first_hand(!this->source.followed());
        // Rounded up: the proof must not look younger than it is.
        reply.set_proof_age_ms(static_cast<uint64_t>(age->count()) + 1);
    }
    this->transport.send(replyTo, message);
    return true;
}

void RecordRelay::scheduleNext()
{
    if (this->waiting.empty()) {
        this->timer.stop();
        return;
    }
    const auto next = std::min_element(this->waiting.begin(), this->waiting.end(),
        [](const auto& left, const auto& right) { return left.second.until < right.second.until; });
    this->timer.start(remaining(next->second.until, Clock::now()));
}

}

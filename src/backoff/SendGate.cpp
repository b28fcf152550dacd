#include "backoff/SendGate.h"

#include "observe/Log.h"

#include <QRandomGenerator>
#include <algorithm>
#include <utility>

namespace dragonfly::backoff {

using observe::logChange;
using observe::LogLevel;

namespace {

    /// Three processes of each of the 1,300 engines to design for, in about half a megabyte. The process with the
    /// oldest statement, which has long ended, is forgotten first.
    constexpr size_t maxEntries = 4096;
    /// Each refused request extends the time a little; only a longer extension since the last log line is logged.
    constexpr std::chrono::milliseconds loggedExtension { 1000 };

    directory::Incarnation incarnationOf(const directory::Registration& target)
    {
        return { target.id, target.startedUnixMs };
    }

}

SendGate::SendGate(limits::RequestLimits& limits, observe::Metrics& metrics)
    : random([] { return QRandomGenerator::global()->generateDouble(); })
    , limits(limits)
    , brittle(metrics)
    , metrics(metrics)
{
    this->brittle.standingOf = [this](const auto& target) { return this->limits.standingOf(target); };
    this->brittle.random = [this] { return this->random(); };
}

SendGate::Entry* SendGate::find(const directory::Registration& target)
{
    if (this->entries.empty())
        return nullptr;
    const auto found = this->entries.find(incarnationOf(target));
    return found == this->entries.end() ? nullptr : &found->second;
}

const SendGate::Entry* SendGate::find(const directory::Registration& target) const
{
    const auto found = this->entries.find(incarnationOf(target));
    return found == this->entries.end() ? nullptr : &found->second;
}

SendGate::Entry& SendGate::findOrCreate(const directory::Registration& target, Clock::time_point now)
{
    if (auto* found = this->find(target))
        return *found;
    if (this->entries.size() >= maxEntries)
        this->dropUnused(now);
    return this->entries[incarnationOf(target)];
}

void SendGate::dropUnused(Clock::time_point now)
{
    std::erase_if(this->entries,
        [now](const auto& item) { return !item.second.state.isLeaving && now >= item.second.state.fullFrom; });
    if (this->entries.size() < maxEntries)
        return;
    const auto oldest
        = std::ranges::min_element(this->entries, {}, [](const auto& item) { return item.second.statedAt; });
    if (oldest->second.state.isLeaving)
        this->metrics.leavingTargets.Decrement();
    this->entries.erase(oldest);
}

void SendGate::onAnswer(
    const directory::Registration& target, const Statement& statement, const std::string& source, Clock::time_point now)
{
    if (!statement.isLeaving && !statement.backoff && !statement.isInvalid)
        return;
    auto& entry = this->findOrCreate(target, now);
    entry.statedAt = now;
    if (statement.isInvalid && !std::exchange(entry.isInvalidLogged, true))
        logChange(LogLevel::Warning, "invalid statement of target ignored",
            { { "target", target.id }, { "started", std::to_string(target.startedUnixMs) }, { "source", source } });
    if (statement.isLeaving)
        this->onLeaving(entry, target, source);
    if (statement.backoff)
        this->onBackoff(entry, target, *statement.backoff, source, now);
}

void SendGate::onRoomAnswer(const directory::Registration& target, const limits::NamedRefusalLimit& named,
    const limits::RoomAnswer& answer, Clock::time_point now)
{
    this->brittle.onAnswer(target, named, answer, now);
}

void SendGate::onLeaving(Entry& entry, const directory::Registration& target, const std::string& source)
{
    if (std::exchange(entry.state.isLeaving, true))
        return;
    this->metrics.leavingTargets.Increment();
    logChange(LogLevel::Info, "target is leaving",
        { { "target", target.id }, { "started", std::to_string(target.startedUnixMs) }, { "source", source } });
}

void SendGate::onBackoff(Entry& entry, const directory::Registration& target, std::chrono::duration<double> backoff,
    const std::string& source, Clock::time_point now)
{
    const ReturnPace pace { target.slots, this->limits.standingOf(target) };
    if (!extend(entry.state, backoff, pace, now, this->random()))
        return;
    if (now < entry.loggedEnd && entry.state.noneBefore < entry.loggedEnd + loggedExtension)
        return;
    entry.loggedEnd = entry.state.noneBefore;
    this->metrics.backoffs.Increment();
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(entry.state.noneBefore - now);
    const auto returnPeriod
        = std::chrono::duration_cast<std::chrono::milliseconds>(entry.state.fullFrom - entry.state.noneBefore);
    logChange(LogLevel::Info, "target asks for time",
        { { "target", target.id }, { "started", std::to_string(target.startedUnixMs) },
            { "for_ms", std::to_string(wait.count()) }, { "return_ms", std::to_string(returnPeriod.count()) },
            { "return_per_s", std::to_string(entry.state.share.perSecond) }, { "source", source } });
}

Verdict SendGate::ask(const directory::Registration& target, Clock::time_point now)
{
    if (auto* entry = this->find(target)) {
        const auto verdict = backoff::ask(entry->state, now, this->random());
        if (verdict != Verdict::Open)
            return verdict;
    }
    if (!this->brittle.maySend(target, now))
        return Verdict::NoRoom;
    return this->limits.maySend(target, now) ? Verdict::Open : Verdict::AtLimit;
}

SendPermit SendGate::admit(const directory::Registration& target, Clock::time_point now)
{
    if (auto* entry = this->find(target))
        backoff::recordSend(entry->state, now, this->random());
    this->brittle.recordSend(target, now);
    return { now, this->limits.recordSend(target, now), now + limits::refusalArrivalTime };
}

Verdict SendGate::confirm(const directory::Registration& target, SendPermit& permit, Clock::time_point now)
{
    if (auto* entry = this->find(target)) {
        const auto verdict = backoff::askAgain(entry->state, permit.recordedAt, now, this->random());
        if (verdict != Verdict::Open)
            return verdict;
    }
    if (now >= permit.refusableUntil) {
        if (!this->brittle.maySend(target, now))
            return Verdict::NoRoom;
        this->brittle.recordSend(target, now);
        permit.refusableUntil = now + limits::refusalArrivalTime;
    }
    if (permit.isCounted)
        return Verdict::Open;
    if (!this->limits.maySend(target, now))
        return Verdict::AtLimit;
    permit.isCounted = this->limits.recordSend(target, now);
    return Verdict::Open;
}

bool SendGate::isLeaving(const directory::Registration& target) const
{
    const auto* entry = this->find(target);
    return entry && entry->state.isLeaving;
}

bool SendGate::mayCall(const directory::Registration& target, Clock::time_point now) const
{
    const auto* entry = this->find(target);
    return !entry || (!entry->state.isLeaving && now >= entry->state.noneBefore);
}

std::optional<Clock::time_point> SendGate::nextSendAt(
    const directory::Registration& target, Clock::time_point now) const
{
    const auto next = std::max(this->limits.nextSendAt(target, now), this->brittle.nextSendAt(target, now));
    const auto* entry = this->find(target);
    if (!entry)
        return next;
    if (entry->state.isLeaving)
        return std::nullopt;
    return now < entry->state.fullFrom ? std::max(next, returnTime(entry->state, this->random())) : next;
}

}

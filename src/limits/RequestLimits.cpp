#include "limits/RequestLimits.h"

#include "observe/Log.h"

#include <QRandomGenerator>
#include <algorithm>
#include <utility>

namespace dragonfly::limits {

using observe::logChange;
using observe::LogLevel;

namespace {

    /// A limit that no answer has named for this long belongs to a process that is gone.
    constexpr std::chrono::hours maxUnusedTime { 1 };
    /// Instances learn of each other within about a second.
    constexpr std::chrono::milliseconds shareRefreshInterval { 1000 };
    /// A limit may change with each answer; changes by less than this factor since the last log line are not logged.
    constexpr double loggedChangeFactor = 1.25;

    directory::Incarnation incarnationOf(const directory::Registration& target)
    {
        return { target.id, target.startedUnixMs };
    }

    std::string toText(const std::optional<double>& perSecond)
    {
        return perSecond ? std::to_string(*perSecond) : "none";
    }

}

RequestLimits::RequestLimits(observe::Metrics& metrics)
    : random([] { return QRandomGenerator::global()->generateDouble(); })
    , metrics(metrics)
{
}

void RequestLimits::onAnswer(
    const directory::Registration& target, const NamedLimit& named, Clock::time_point sentAt, Clock::time_point now)
{
    auto found = this->entries.find(incarnationOf(target));
    if (found == this->entries.end()) {
        if (!named.perSecond && !named.isInvalid)
            return;
        this->dropUnused(now);
        found = this->entries.emplace(incarnationOf(target), Entry {}).first;
    }
    auto& entry = found->second;
    if (named.isInvalid) {
        entry.namedAt = now;
        if (!std::exchange(entry.isInvalidLogged, true))
            logChange(LogLevel::Warning, "invalid request limit ignored", { { "target", target.id } });
        return;
    }
    if (named.perSecond)
        entry.namedAt = now;
    else if (sentAt < entry.namedAt)
        return;
    this->setLimit(entry, target, named.perSecond, now);
}

void RequestLimits::setLimit(
    Entry& entry, const directory::Registration& target, std::optional<double> perSecond, Clock::time_point now)
{
    if (perSecond == entry.perSecond)
        return;
    const auto former = std::exchange(entry.perSecond, perSecond);
    if (former.has_value() != perSecond.has_value())
        this->metrics.limitedTargets.Increment(perSecond ? 1 : -1);
    if (!perSecond) {
        logChange(LogLevel::Info, "target no longer limits requests",
            { { "target", target.id }, { "former_per_s", toText(former) } });
        return;
    }
    this->updateShare(entry, target, now);
    if (!former)
        entry.schedule = startSchedule(entry.share, now, this->random());
    const auto [lower, higher] = std::minmax(entry.loggedPerSecond, *perSecond);
    if (former && higher <= lower * loggedChangeFactor)
        return;
    entry.loggedPerSecond = *perSecond;
    logChange(LogLevel::Info, "target limits requests",
        { { "target", target.id }, { "per_s", toText(perSecond) }, { "former_per_s", toText(former) },
            { "share_per_s", std::to_string(entry.share.perSecond) },
            { "sender", entry.share.isSender ? "yes" : "no" } });
}

/// The entry of a target whose limit is in force; null if there is none.
RequestLimits::Entry* RequestLimits::findLimited(const directory::Registration& target)
{
    const auto found = this->entries.find(incarnationOf(target));
    return found == this->entries.end() || !found->second.perSecond ? nullptr : &found->second;
}

void RequestLimits::updateShare(Entry& entry, const directory::Registration& target, Clock::time_point now) const
{
    const auto former = std::exchange(entry.share, shareOf(*entry.perSecond, this->standingOf(target)));
    entry.shareUntil = now + shareRefreshInterval;
    if (former.isSender != entry.share.isSender)
        entry.schedule = startSchedule(entry.share, now, this->random());
}

bool RequestLimits::maySend(const directory::Registration& target, Clock::time_point now)
{
    if (this->entries.empty())
        return true;
    auto* entry = this->findLimited(target);
    if (!entry)
        return true;
    if (now >= entry->shareUntil)
        this->updateShare(*entry, target, now);
    return limits::maySend(entry->schedule, entry->share, now, this->random());
}

bool RequestLimits::recordSend(const directory::Registration& target, Clock::time_point now)
{
    auto* entry = this->findLimited(target);
    if (entry)
        limits::recordSend(entry->schedule, entry->share, now, this->random());
    return entry;
}

Clock::time_point RequestLimits::nextSendAt(const directory::Registration& target, Clock::time_point now) const
{
    const auto found = this->entries.find(incarnationOf(target));
    if (found == this->entries.end() || !found->second.perSecond)
        return now;
    return limits::nextSendAt(found->second.schedule, found->second.share);
}

void RequestLimits::dropUnused(Clock::time_point now)
{
    std::erase_if(this->entries, [this, now](const auto& item) {
        const auto& entry = item.second;
        if (now - entry.namedAt < maxUnusedTime)
            return false;
        if (entry.perSecond)
            this->metrics.limitedTargets.Decrement();
        return true;
    });
}

}

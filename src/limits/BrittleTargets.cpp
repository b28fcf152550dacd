#include "limits/BrittleTargets.h"

#include "observe/Log.h"

#include <QRandomGenerator>
#include <algorithm>
#include <utility>

namespace dragonfly::limits {

using observe::logChange;
using observe::LogLevel;

namespace {

    /// A process that has not answered for this long is gone.
    constexpr std::chrono::hours maxUnusedTime { 1 };
    /// Instances learn of each other within about a second.
    constexpr std::chrono::milliseconds shareRefreshInterval { 1000 };
    /// Longer than a target that ended takes to return; the first answer of the new process then tells.
    constexpr std::chrono::seconds serviceValidity { 10 };

    directory::Incarnation incarnationOf(const directory::Registration& target)
    {
        return { target.id, target.startedUnixMs };
    }

}

BrittleTargets::BrittleTargets(observe::Metrics& metrics)
    : random([] { return QRandomGenerator::global()->generateDouble(); })
    , metrics(metrics)
{
}

void BrittleTargets::onAnswer(const directory::Registration& target, const NamedRefusalLimit& named,
    const RoomAnswer& answer, Clock::time_point now)
{
    auto found = this->entries.find(incarnationOf(target));
    if (found == this->entries.end()) {
        if (!named.perSecond && !named.isInvalid)
            return;
        this->dropUnused(now);
        found = this->entries.emplace(incarnationOf(target), Entry { target.service, {}, {}, false, {}, {} }).first;
    }
    auto& entry = found->second;
    if (named.isInvalid && !std::exchange(entry.isInvalidLogged, true))
        logChange(LogLevel::Warning, "invalid number of bearable refusals ignored", { { "target", target.id } });
    if (named.perSecond) {
        entry.namedAt = now;
        auto& service = this->services[target.service];
        service.perSecond = *named.perSecond;
        service.namedAt = now;
        this->setLimit(entry, target, named.perSecond, now);
    } else if (!named.isInvalid && answer.sentAt >= entry.namedAt) {
        this->setLimit(entry, target, std::nullopt, now);
        this->endService(target.service);
    }
    if (!entry.perSecond)
        return;
    recordAnswer(this->services[target.service].room, answer, now);
    applyAnswer(entry.budget, answer, now, this->random());
}

void BrittleTargets::setLimit(
    Entry& entry, const directory::Registration& target, std::optional<double> perSecond, Clock::time_point now)
{
    if (perSecond == entry.perSecond)
        return;
    const auto former = std::exchange(entry.perSecond, perSecond);
    if (former.has_value() != perSecond.has_value())
        this->metrics.brittleTargets.Increment(perSecond ? 1 : -1);
    if (!perSecond) {
        entry.budget = {};
        logChange(LogLevel::Info, "target bears any number of refusals", { { "target", target.id } });
        return;
    }
    this->updateShare(entry, target, now);
    logChange(LogLevel::Info, "target bears few refusals",
        { { "target", target.id }, { "per_s", std::to_string(*perSecond) },
            { "share_per_s", std::to_string(entry.budget.share.perSecond) } });
}

/// The targets of a service become brittle and end it together: one request shows whether the others have ended it too.
void BrittleTargets::endService(const std::string& service)
{
    if (!this->services.erase(service))
        return;
    for (auto& [incarnation, entry] : this->entries) {
        if (entry.service == service)
            entry.budget.freeSlots = std::max(entry.budget.freeSlots, 1u);
    }
}

const BrittleTargets::Service* BrittleTargets::findService(const std::string& service, Clock::time_point now) const
{
    const auto found = this->services.find(service);
    return found == this->services.end() || now >= found->second.namedAt + serviceValidity ? nullptr : &found->second;
}

bool BrittleTargets::isServiceFull(const std::string& service, Clock::time_point now) const
{
    const auto* found = this->findService(service, now);
    return found && isFull(found->room, now);
}

/// The entry of a target that bears few refusals; null if it bears any number, by all that is known.
BrittleTargets::Entry* BrittleTargets::findBrittle(const directory::Registration& target, Clock::time_point now)
{
    auto found = this->entries.find(incarnationOf(target));
    if (found == this->entries.end()) {
        const auto* service = this->findService(target.service, now);
        if (!service)
            return nullptr;
        const auto perSecond = service->perSecond;
        this->dropUnused(now);
        found = this->entries.emplace(incarnationOf(target), Entry { target.service, {}, now, false, {}, {} }).first;
        this->setLimit(found->second, target, perSecond, now);
    }
    return found->second.perSecond ? &found->second : nullptr;
}

void BrittleTargets::updateShare(Entry& entry, const directory::Registration& target, Clock::time_point now) const
{
    setShare(entry.budget, refusalShareOf(*entry.perSecond, this->standingOf(target)), now, this->random());
    entry.shareUntil = now + shareRefreshInterval;
}

bool BrittleTargets::maySend(const directory::Registration& target, Clock::time_point now)
{
    if (this->services.empty() && this->entries.empty())
        return true;
    auto* entry = this->findBrittle(target, now);
    if (!entry)
        return true;
    if (now >= entry->shareUntil)
        this->updateShare(*entry, target, now);
    return limits::maySend(entry->budget, this->isServiceFull(entry->service, now), now, this->random());
}

void BrittleTargets::recordSend(const directory::Registration& target, Clock::time_point now)
{
    if (this->services.empty() && this->entries.empty())
        return;
    if (auto* entry = this->findBrittle(target, now))
        limits::recordSend(entry->budget, now, this->random());
}

Clock::time_point BrittleTargets::nextSendAt(const directory::Registration& target, Clock::time_point now) const
{
    const auto found = this->entries.find(incarnationOf(target));
    if (found == this->entries.end() || !found->second.perSecond)
        return now;
    return limits::nextSendAt(found->second.budget, this->isServiceFull(target.service, now), now);
}

void BrittleTargets::dropUnused(Clock::time_point now)
{
    std::erase_if(this->entries, [this, now](const auto& item) {
        const auto& entry = item.second;
        if (now - entry.namedAt < maxUnusedTime)
            return false;
        if (entry.perSecond)
            this->metrics.brittleTargets.Decrement();
        return true;
    });
    std::erase_if(this->services, [now](const auto& item) { return now - item.second.namedAt >= maxUnusedTime; });
}

}

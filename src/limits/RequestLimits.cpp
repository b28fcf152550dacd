#include "limits/RequestLimits.h"

#include "observe/Log.h"

namespace dragonfly::limits {

using observe::logChange;
using observe::LogLevel;

namespace {

    /// A limit that no answer has named for this long belongs to a process that is gone.
    constexpr std::chrono::hours maxUnusedTime { 1 };

}

void RequestLimits::onAnswer(
    const directory::Incarnation& target, const NamedLimit& named, Clock::time_point sentAt, Clock::time_point now)
{
    auto found = this->entries.find(target);
    if (found == this->entries.end()) {
        if (!named.perSecond && !named.isInvalid)
            return;
        this->dropUnused(now);
        found = this->entries.emplace(target, Entry {}).first;
    }
    auto& entry = found->second;
    if (named.isInvalid) {
        entry.namedAt = now;
        if (!std::exchange(entry.isInvalidLogged, true))
            logChange(LogLevel::Warning, "invalid request limit ignored", { { "target", target.target } });
        return;
    }
    if (named.perSecond)
        entry.namedAt = now;
    else if (sentAt < entry.namedAt)
        return;
    if (named.perSecond == entry.perSecond)
        return;
    if (entry.perSecond.has_value() != named.perSecond.has_value())
        this->metrics.limitedTargets.Increment(named.perSecond ? 1 : -1);
    logChange(LogLevel::Info, named.perSecond ? "target limits requests" : "target no longer limits requests",
        { { "target", target.target }, { "per_s", named.perSecond ? std::to_string(*named.perSecond) : "none" },
            { "former_per_s", entry.perSecond ? std::to_string(*entry.perSecond) : "none" } });
    entry.perSecond = named.perSecond;
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

#pragma once
// The way of one engine to newer weights, as plain values: the calls to it, and the place that it takes among the
// engines that load at the same time.
//
// A place is taken before an engine is queried and bounds how many engines stop serving together. It ends when the
// weights are seen, when a call shows that the engine does not load, or at a deadline. So an engine that is not reached
// or never loads does not hold up the others. It is tried again with a backoff, in places apart from theirs.

#include "base/Base.h"

#include <optional>
#include <string>

namespace dragonfly::weights {

struct EngineLoad {
    std::string model; ///< an engine with several models loads one after the other
    uint64_t version = 0; ///< of the weights that were ordered or are to be
    std::optional<Clock::time_point> orderedAt; ///< when an order was first accepted
    std::optional<Clock::time_point> unansweredSince; ///< when the first order that got no answer was sent
    Deadline checkAt; ///< the next call to the engine is made then
    bool isCallInFlight = false; ///< a report query or an order is in flight
    bool isBusy = false; ///< the engine's last report says that it carries out an order
    bool hasReported = false; ///< since it took its place
    bool holdsPlace = false;
    Deadline placeUntil; ///< the end of the place, if it holds one
    uint32_t failures = 0; ///< places that ended without the weights, since the engine last had the wanted ones

    /// Whether an order may be carried out later. The engine serves until then.
    bool isOrderPending() const
    {
        return this->holdsPlace && this->unansweredSince && !this->orderedAt && !this->isBusy;
    }
    /// Whether an order is or may be under way, so that silence does not show that the engine serves.
    bool mayBeLoading() const
    {
        return this->orderedAt || this->unansweredSince || this->isBusy;
    }
};

/// The longest time for which an engine holds a place, from when it takes it.
/// @param loadTime the average load
/// @param timeToComplete from the first order until no replaced weights may answer
std::chrono::milliseconds maxPlaceTime(std::chrono::milliseconds loadTime, std::chrono::milliseconds timeToComplete);

/// The same for an engine until its first report.
std::chrono::milliseconds maxTimeToReport(const EngineLoad& load, std::chrono::milliseconds placeTime);

/// Until when an engine holds a place with an order that was sent at @p sentAt and not answered. It serves meanwhile.
Deadline pendingPlaceEnd(Clock::time_point sentAt, std::chrono::milliseconds timeToComplete);

/// Takes a place for a load of @p version of @p model that is to end by @p until.
void takePlace(EngineLoad& load, const std::string& model, uint64_t version, Deadline until);

/// Ends the place of a load that was not completed, and sets when the engine is tried again.
void releasePlace(EngineLoad& load, Clock::time_point now);

}

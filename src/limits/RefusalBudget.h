#pragma once
// Keeps the requests that a target refuses for want of room within the number that it bears, without messages between
// the instances.
//
// A few instances, the first ones of the ranking of limits/SendShare.h, divide the refusals that the target bears in a
// second. Each keeps a reserve for a request until it is known that the target took it. The others send while the
// target reports free slots, and single requests at random times when it has none. docs/LIMITS.md has the arithmetic.

#include "limits/SendShare.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace dragonfly::limits {

/// The refusals that an instance may cause at a target.
struct RefusalShare {
    size_t perSecond = 0; ///< in any second; 0: only those of the probes
    SendShare probes; ///< requests at random times, for an instance whose share is 0
};

/// The share of an instance in the refusals at a target that bears @p limitPerSecond of them in a second.
RefusalShare refusalShareOf(double limitPerSecond, const Standing& standing);

/// The requests that a target held when it answered.
struct RoomReport {
    uint32_t running = 0;
    uint32_t waiting = 0;
    uint32_t slots = 0;
};

/// A request that may yet be refused, or has been.
struct RefusalRisk {
    Clock::time_point sentAt;
    Clock::time_point until; ///< it takes a part of the share until then
};

/// What one instance may send to one target that bears few refusals.
struct RefusalBudget {
    RefusalShare share;
    std::vector<RefusalRisk> risks;
    uint32_t freeSlots = 1; ///< by the latest answer, less the requests sent since; 0 after a refusal
    Clock::time_point answeredAt; ///< when that answer arrived
    bool hasSentSinceAnswer = false;
    SendSchedule probes;
};

/// What the latest answers of all targets of a service said to one instance. Initially there is room.
struct ServiceRoom {
    uint8_t fullAnswers = 0; ///< a bit for each answer, set if that target had no free slot; the latest is the lowest
    Clock::time_point answeredAt;
};

/// How an answer bears on the room of the target.
struct RoomAnswer {
    Clock::time_point sentAt; ///< when the request was recorded
    bool isRefusal = false; ///< the target did not run the request for want of room
    std::optional<RoomReport> report;
};

/// For so long after a request was sent, a refusal may still arrive.
inline constexpr std::chrono::milliseconds refusalArrivalTime { 250 };

/// Puts @p share in force.
void setShare(RefusalBudget& budget, const RefusalShare& share, Clock::time_point now, double random);
/// Records in @p service what an answer that arrived at @p now says.
void recordAnswer(ServiceRoom& service, const RoomAnswer& answer, Clock::time_point now);
/// Whether targets of the service are commonly without free slots.
bool isFull(const ServiceRoom& service, Clock::time_point now);
/// Whether a request may be sent at @p now.
/// @param isServiceFull as isFull() says; then an answer proves one free slot for a short time,
/// and none to an instance with a share
bool maySend(RefusalBudget& budget, bool isServiceFull, Clock::time_point now, double random);
/// Records a request that is sent at @p now.
void recordSend(RefusalBudget& budget, Clock::time_point now, double random);
/// Applies an answer that arrived at @p now.
void applyAnswer(RefusalBudget& budget, const RoomAnswer& answer, Clock::time_point now, double random);
/// The earliest time at which the next request may be sent, unless an answer shows room before.
Clock::time_point nextSendAt(const RefusalBudget& budget, bool isServiceFull, Clock::time_point now);

}

#pragma once
// Rolls out the weights that operators have named to every engine.
//
// Only one instance at a time, the leader, sends orders. It queries an engine's report before each order and
// sends the number of accepted orders along, so that the engine refuses an order that arrives late, after
// another one.

#include "directory/Directory.h"
#include "http/Http.h"
#include "observe/Metrics.h"
#include "store/KeyValueStore.h"
#include "weights/EngineApi.h"
#include "weights/EngineLoad.h"
#include "weights/LeaderLease.h"
#include "weights/RolloutPlan.h"

#include <QObject>
#include <QTimer>
#include <set>

namespace dragonfly::weights {

struct RolloutSettings {
    std::string instance; ///< id of this instance
    LeaderLeaseTimings leaderLease;
    std::chrono::milliseconds replacedWeightsGracePeriod { 15000 }; ///< replaced weights may answer for this long
    /// Share of a model's engines that may always load at the same time.
    double parallelShare = 0.2;
};

class WeightsRollout : public QObject {
    Q_OBJECT
public:
    static constexpr const char* keyPrefix = "dragonfly/";
    static constexpr const char* leaderKey = "dragonfly/order-holder";
    /// Prefix of keys that exist while replaced weights may still answer; model and version follow. For instances
    /// that were started after the replacement was named.
    static constexpr std::string_view mayStillAnswerPrefix = "dragonfly/may-still-answer/";
    /// Prefix of keys that name, for the model that follows, the wanted version for which a leader has confirmed the
    /// replaced ones. They outlast the confirmations and the instances, so that no leader confirms the same weights
    /// twice without knowing when they were replaced.
    static constexpr std::string_view confirmedForPrefix = "dragonfly/confirmed-for/";
    /// A key under a lease that the leader renews each second while it knows of no wanted version that is not claimed.
    /// A leader that finds it after a loss of all instances knows that a version which is still to be claimed was named
    /// no longer ago than the lease lasts.
    static constexpr std::string_view observationKey = "dragonfly/weights-observed";
    /// Ends the value of a confirmation whose time is bounded by what some leader observed. Builds that did not write
    /// it took the time since their own start for a bound.
    static constexpr std::string_view boundedSuffix = " bounded";

    WeightsRollout(const RolloutSettings& settings, store::WatchableStore& store, const EngineApi& api,
        directory::Directory& directory, observe::Metrics& metrics);

    /// Called with the head of each answer of an engine.
    std::function<void(const directory::Registration&, const http::ResponseHead&)> onAnswer
        = [](const auto&, const auto&) {};
    /// A moment at which the records held no newer ones than those applied; the epoch if none is known.
    std::function<BootClock::time_point()> recordsAsOf = [] { return BootClock::time_point(); };
    /// Whether an engine is leaving: it gets no calls, and the rollout does not wait for it.
    std::function<bool(const directory::Registration&)> isLeaving = [](const auto&) { return false; };
    /// Whether an engine takes calls now. Asked again right before each call is written.
    std::function<bool(const directory::Registration&)> mayCall = [](const auto&) { return true; };

    /// Applies a record below keyPrefix that was written (@p exists) or removed.
    void applyRecord(const store::KeyValue& record, bool exists);
    /// Applies whether the leader key exists.
    void applyLeaderKeyState(bool exists);
    /// Ends leadership and forgets what was written, because the platform's service has returned from an older copy.
    void onStoreReturned();
    /// Schedules a rollout step if this instance is the leader and some engine is outdated. To be called when
    /// the wanted weights, those of a target or the configuration have changed.
    void scheduleRollout();
    /// Ends leadership and calls @p done, even if the platform's service does not answer.
    void stop(std::function<void()> done);

private:
    void acquireLeadership();
    void writeLeaderKey(int64_t lease, BootClock::time_point leaseRequestedAt);
    void renewLease();
    void endLeadership(const char* reason);

    /// A record below observationKey that existed at some moment.
    struct Observation {
        int64_t revision = 0; ///< 0: none is known
        BootClock::time_point existedAt;
    };

    /// The wanted version of a model for which the replaced ones have been confirmed.
    struct ConfirmedFor {
        uint64_t version = 0;
        int64_t revision = 0; ///< of the record; 0: there is none
        /// If this instance wrote the record: the version of the record before. Versions from that one on had not been
        /// replaced when it was written.
        std::optional<uint64_t> formerVersion;
        Deadline nextClaimAt; ///< no claim is written before
        Observation observed; ///< the last one before this instance wrote the record
    };

    /// Publishes which replaced weights may still answer, and for how long, to instances that are started later and
    /// cannot know it.
    void refuseRecord(const std::string& key);
    void confirmReplacedWeights();
    /// Claims the confirmation of each wanted version, whether or not any engine runs the model: one that returns later
    /// may have the weights that it had before.
    void claimConfirmations();
    bool hasUnclaimedVersions() const;
    void claimConfirmation(const std::string& model, uint64_t wanted);
    std::optional<BootClock::time_point> confirmationEnd(const std::string& model, uint64_t version) const;
    bool isExtendable(const std::string& model, uint64_t version) const;
    void retryConfirmation(const std::string& key);
    void confirmMayStillAnswer(
        const std::string& model, uint64_t version, std::chrono::seconds timeToLive, BootClock::time_point rewriteAt);
    std::chrono::milliseconds usableTime() const;
    std::chrono::seconds observationTtl() const;
    void refreshObservations();
    void checkObservation();
    void extendObservation(BootClock::time_point time);
    void publishObservation();
    void writeObservation(int64_t lease);
    void advanceRollout();
    void planModel(const std::string& model, uint64_t wanted);
    void queryReport(const directory::TargetPointer& target, const std::string& model, uint64_t version);
    void onReport(
        const directory::TargetPointer& target, const std::string& model, uint64_t version, const EngineReport& report);
    void sendOrder(const directory::TargetPointer& target, const LoadOrder& order);
    void onOrdered(
        const directory::TargetPointer& target, const LoadOrder& order, OrderOutcome outcome, Clock::time_point sentAt);
    /// Sends one call to an engine. @p done receives a null head if no complete answer came.
    void callEngine(const directory::Target& target, const http::Request& request,
        std::function<void(const http::ResponseHead*, std::string_view)> done);
    bool isServing(const directory::Target& target) const;
    bool isOutdated(const directory::Target& target) const;
    bool hasOutdatedEngines() const;
    void logTargetsLeftOut();
    RolloutPace pace(const std::string& model, uint64_t wanted) const;
    /// Age of the oldest order that got no answer, has not been carried out yet and holds a place.
    std::chrono::milliseconds oldestPendingOrder() const;
    std::vector<EngineState> statesOf(const std::string& model, bool haveFailed, size_t& count);
    void endOverduePlaces(Clock::time_point now);
    /// Ends the place of an engine that does not load, so that the others do not wait for it.
    void onLoadFailed(const std::string& targetId, const char* reason);
    void onLoadCompleted(const std::string& targetId);
    void recordLoadTime(const EngineLoad& load);
    void updateMetrics();

    RolloutSettings settings;
    store::WatchableStore& store;
    const EngineApi& api;
    directory::Directory& directory;
    observe::Metrics& metrics;
    http::ClientPool engines;
    LeaderLease leadership;
    QTimer acquireTimer;
    QTimer renewTimer;
    QTimer rolloutTimer;
    QTimer observationTimer; ///< runs while this instance leads
    std::map<std::string, EngineLoad> loads; ///< by target id: engines with a place, and those that failed to load
    std::set<std::string> leftOut; ///< ids of the targets that logTargetsLeftOut() has logged
    std::chrono::milliseconds loadTime; ///< moving average of the time from an order until its weights are seen
    /// By key below mayStillAnswerPrefix: when it may be written again, because it has expired or could not be written.
    std::map<std::string, BootClock::time_point> confirmedKeys;
    std::map<std::string, ConfirmedFor> confirmedFor; ///< by model
    Observation observation; ///< the latest one known
    bool isObservationPresent = false; ///< it has not been removed
    std::optional<int64_t> observationLease; ///< if it was written by this instance
    bool isObservationInFlight = false;
    Deadline nextObservationAt; ///< no call for it is sent before
    Deadline nextObservationCheckAt; ///< no check that the latest one known still exists is sent before
    bool leaderExists = true; ///< whether the leader key exists, as last observed; true until it is known
    bool isAcquiring = false;
    bool stopping = false;
};

}

#pragma once
// Reports targets that ended while they began answers, and decides from the reports of all instances which prompt
// parts and which requests are quarantined.
//
// Attempts that broke at one target at about the same time are gathered into one report. It counts at this instance at
// once, and at the others when they read its record.
//
// "Parts" are here the shared parts of a request's prompt and, as the last, the request's own (see RequestIdentity.h).
// The functions that take them work without the own part where needsOwnPart() or holdsRequests() is false.

#include "observe/Metrics.h"
#include "quarantine/PromptEvidence.h"
#include "quarantine/RecordPublisher.h"
#include "quarantine/SoundParts.h"
#include "store/KeyValueStore.h"

#include <QObject>
#include <QTimer>

namespace dragonfly::quarantine {

/// The hash of part @p id of a prompt for @p model.
PartHash hashOfPart(const std::string& model, const std::string& id);
/// The form of @p part in logs and keys.
std::string toText(PartHash part);
/// @p part with its kind, for callers and logs.
std::string describe(PartHash part);

/// An attempt whose connection the target closed before the answer was complete.
struct BrokenAttempt {
    Incarnation incarnation;
    std::string requestId;
    std::vector<PartHash> parts; ///< the shared parts of its prompt and the request's own
    bool hasBegun = false; ///< the head of the answer was received
    bool isBeginning = false; ///< no part of the answer was received beginWindow after its begin
};

class PromptQuarantine : public QObject {
    Q_OBJECT
public:
    /// Key prefixes of the records: on ended targets, with the instance and a number, and on parts that were answered.
    static constexpr std::string_view reportPrefix = "dragonfly/target-ends/";
    static constexpr std::string_view soundPrefix = "dragonfly/sound-prompts/";

    PromptQuarantine(const std::string& instance, store::WatchableStore& store, observe::Metrics& metrics);

    /// Applies a record that was written (@p exists) or removed. Returns false if it is not one of this module.
    bool applyRecord(const store::KeyValue& record, bool exists);

    /// To be called when the service has returned from an older copy.
    void onStoreReturned();
    /// Keeps what a record said that the service lost in such a return. Returns false if it is not one of this module.
    bool onRecordLost(const std::string& key);
    /// Publishes those reports of this instance again that do not exist.
    void publishMissing(const std::function<bool(const std::string& key)>& exists);

    void onAttemptBroken(const BrokenAttempt& attempt);
    /// To be called when a target has proved that it can answer a prompt with @p parts.
    void onSound(const std::vector<PartHash>& parts);

    /// The first of @p parts that is quarantined.
    std::optional<PartHash> findQuarantined(const std::vector<PartHash>& parts) const
    {
        return this->evidence.findQuarantined(parts);
    }
    /// The quarantined part for which a request with @p parts must not be sent; nullopt if it may be sent now. Lets a
    /// request pass from time to time that distinguishes a part from others with the same ends. Of the processes that
    /// reported a quarantined request, the first two let one repetition pass each, until one has crashed its target.
    std::optional<PartHash> refuse(const std::vector<PartHash>& parts, Clock::time_point now);
    /// The quarantined part for which a request with @p parts that waits at a target is withdrawn. One that separates
    /// the part from others stays, since its target may begin it at any time anyway.
    std::optional<PartHash> withdraw(const std::vector<PartHash>& parts) const
    {
        return this->evidence.findDecisive(parts) ? std::nullopt : this->evidence.findQuarantined(parts);
    }
    /// To be called when the first byte of a request with @p parts was written.
    void onSent(const std::vector<PartHash>& parts);
    /// Whether onSound() needs the request's own part.
    bool needsOwnPart() const
    {
        return this->evidence.suspectsRequests();
    }
    /// Whether repetitions of any request are refused, so that the own part is needed to recognize them.
    bool holdsRequests() const
    {
        return this->evidence.holdsRequests();
    }
    /// The part for which the request of @p attempt may be the cause of the target's end.
    std::optional<PartHash> findSuspected(const BrokenAttempt& attempt) const;

    /// Whether an attempt that was sent to the process before @p since is still open.
    std::function<bool(const Incarnation& incarnation, Clock::time_point since)> hasOpenAttempt;
    /// Whether the process is known to be registered still.
    std::function<bool(const Incarnation& incarnation)> isRegistered;
    std::function<void()> onQuarantined; ///< called when a part has been quarantined
    /// Decides at once which parts are quarantined, instead of shortly after the latest record or proof.
    void update();

private:
    /// Broken attempts at one process of a target.
    struct Gathering {
        std::vector<BrokenAttempt> attempts;
        Clock::time_point firstAt; ///< when the first attempt broke
        Deadline reportAt;
    };

    void gatherDue();
    void scheduleGathering();
    void report(const Incarnation& incarnation, const Gathering& gathering);
    void withdrawIfRegistered(const std::string& key, const Incarnation& incarnation);
    void onRecordDone(const std::string& key, bool isWritten);
    void refuseRecord(const char* event, const std::string& key);
    void expireLostReport(const std::string& key);
    void publishSound(PartHash part);
    Clock::time_point firstTrialAt(PartHash part, Clock::time_point now) const;
    bool mayTryRequest(PartHash part, Clock::time_point now);
    void scheduleUpdate();

    std::string instance;
    observe::Metrics& metrics;
    PromptEvidence evidence;
    SoundParts soundParts;
    RecordPublisher reportPublisher;
    RecordPublisher soundPublisher;
    std::map<Incarnation, Gathering> gatherings;
    std::set<std::string> lostReports; ///< keys of reports that the service lost and that were not written again yet
    std::set<PartHash> soundInProgress; ///< parts whose proof is scheduled or being written
    std::map<PartHash, Clock::time_point> nextTrials; ///< of the quarantined parts that may be told from others
    /// Ends against each request that was quarantined when this process first refused it, while it is reported.
    std::map<PartHash, size_t> endsAtFirstRefusal;
    std::set<PartHash> triedRequests; ///< of the same, those of which this process sent a repetition since
    /// Distinguishes the keys of this process from those of an earlier one of the same instance.
    std::string reportKeyPrefix;
    uint64_t lastReport = 0;
    QTimer gatherTimer;
    QTimer updateTimer;
};

}

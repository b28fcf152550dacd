#include "weights/WeightsRollout.h"

#include "observe/Log.h"

#include <QRandomGenerator>
#include <algorithm>
#include <charconv>

namespace dragonfly::weights {

using observe::logChange;
using observe::LogLevel;
using std::chrono::milliseconds;

namespace {

    constexpr std::chrono::milliseconds callTimeout { 800 };
    constexpr std::chrono::milliseconds connectTimeout { 400 };
    /// Random delay before an instance tries to become leader, so that usually only one does.
    constexpr int acquireJitterMs = 400;
    /// Before the next attempt to become leader after a failed one or after the end of leadership.
    constexpr std::chrono::milliseconds acquireBackoff { 1000 };
    constexpr int renewalsPerLease = 3;
    /// Short enough that several renewals fit into the rest of a lease.
    constexpr std::chrono::milliseconds renewalTimeout { 400 };
    /// Before the next renewal after a failed one.
    constexpr std::chrono::milliseconds renewalRetryInterval { 100 };
    /// Confirmations for replaced weights with a shorter time to live are not worth their calls.
    constexpr std::chrono::seconds minConfirmationTtl { 2 };
    /// Before the next attempt to confirm replaced weights after a failed call.
    constexpr std::chrono::milliseconds confirmationRetryInterval { 500 };
    /// A confirmation whose end can still move is written again this long before it ends: two calls and the way to the
    /// followers.
    constexpr std::chrono::milliseconds confirmationRewriteMargin { 1000 };
    /// Granularity of the leases of confirmations, by which they are rounded down.
    constexpr std::chrono::milliseconds confirmationGranularity { 1000 };
    constexpr std::chrono::milliseconds observationInterval { 1000 };
    /// How often the leader looks whether its records are recent enough for an observation. They are most recent right
    /// after an answer, and several answers come in each observationInterval.
    constexpr std::chrono::milliseconds observationCheckInterval { 100 };
    /// The leader publishes that it observes the weights only while its records are no older.
    constexpr std::chrono::milliseconds maxObservationAge { 1500 };
    /// How much earlier than the start of its lease an observation may have been made.
    constexpr auto observationLag = maxObservationAge + renewalTimeout;
    /// Between rollout steps while some engine is outdated.
    constexpr std::chrono::milliseconds rolloutInterval { 150 };
    /// An engine whose new weights have not been seen this long after an accepted order is queried for a report:
    /// its registration may show them one heartbeat late, while other engines wait for their turn.
    constexpr std::chrono::milliseconds loadCheckDelay { 1100 };
    /// Time of a load until one has been observed: running requests finish, the weights load, and the engine's
    /// registration or report shows them.
    constexpr std::chrono::milliseconds initialLoadTime { 1500 };
    /// A sample has the weight 1/4 in the moving average of load times.
    constexpr int loadTimeSmoothingDivisor = 4;
    /// Before the next report query to an engine that was busy or did not answer.
    constexpr std::chrono::milliseconds reportRetryInterval { 400 };

    std::optional<uint64_t> parseVersion(std::string_view text)
    {
        uint64_t version = 0;
        const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), version);
        return failure == std::errc() && end == text.data() + text.size() ? std::optional(version) : std::nullopt;
    }

}

WeightsRollout::WeightsRollout(const RolloutSettings& settings, store::WatchableStore& store, const EngineApi& api,
    directory::Directory& directory, observe::Metrics& metrics)
    : settings(settings)
    , store(store)
    , api(api)
    , directory(directory)
    , metrics(metrics)
    , leadership(settings.leaderLease)
    , loadTime(initialLoadTime)
{
    for (auto* timer : { &this->acquireTimer, &this->renewTimer, &this->rolloutTimer })
        timer->setSingleShot(true);
    connect(&this->acquireTimer, &QTimer::timeout, this, &WeightsRollout::acquireLeadership);
    connect(&this->renewTimer, &QTimer::timeout, this, &WeightsRollout::renewLease);
    connect(&this->rolloutTimer, &QTimer::timeout, this, &WeightsRollout::advanceRollout);
    connect(&this->observationTimer, &QTimer::timeout, this, &WeightsRollout::publishObservation);
}

void WeightsRollout::applyRecord(const store::KeyValue& record, bool exists)
{
    const auto& key = record.key;
    if (key == leaderKey) {
        this->applyLeaderKeyState(exists);
        return;
    }
    if (key == observationKey) {
        this->refreshObservations(); // it existed until now, as far as this instance knew
        this->isObservationPresent = exists;
        if (!exists)
            this->observationLease.reset();
        else if (record.modRevision != this->observation.revision)
            this->observation = { record.modRevision, this->recordsAsOf() };
        return;
    }
    if (key.starts_with(confirmedForPrefix)) {
        auto& confirmed = this->confirmedFor[key.substr(confirmedForPrefix.size())];
        const auto version = parseVersion(record.value);
        if (!exists) {
            confirmed.revision = 0; // the version stays: it was confirmed, whether or not the record was lost
        } else if (!version || *version < confirmed.version) {
            if (!version)
                this->refuseRecord(key);
            confirmed.revision = record.modRevision; // an older copy, or to be written over
        } else if (record.modRevision > confirmed.revision) {
            confirmed = { *version, record.modRevision, std::nullopt, confirmed.nextClaimAt, {} };
        }
        return;
    }
    const auto slash = key.rfind('/');
    if (!key.starts_with(mayStillAnswerPrefix) || slash < mayStillAnswerPrefix.size())
        return;
    const auto model = key.substr(mayStillAnswerPrefix.size(), slash - mayStillAnswerPrefix.size());
    if (const auto version = parseVersion(std::string_view(key).substr(slash + 1)))
        this->directory.confirmReplacedVersion(model, *version, exists && record.value.ends_with(boundedSuffix));
    else
        this->refuseRecord(key);
}

void WeightsRollout::refuseRecord(const std::string& key)
{
    this->metrics.recordsRefused.Increment();
    observe::logRefusedRecord(LogLevel::Warning, "invalid record on replaced weights refused", { { "key", key } });
}

void WeightsRollout::confirmReplacedWeights()
{
    const auto now = BootClock::now();
    std::erase_if(this->confirmedKeys, [now](const auto& entry) { return entry.second <= now; });
    bool isAnyExtendable = false;
    for (const auto& [id, target] : this->directory.targets()) {
        for (const auto& [model, version] : target->registration.weights) {
            const auto wanted = this->directory.wantedWeights(model);
            if (version >= wanted || !this->directory.isEngine(target->registration))
                continue;
            const auto confirmed = this->confirmedFor.find(model);
            if (confirmed == this->confirmedFor.end() || confirmed->second.version < wanted)
                continue; // not claimed yet
            const auto end = this->confirmationEnd(model, version);
            if (!end)
                continue;
            // Rounded down, because the key must not exist longer than the weights may answer.
            const auto timeToLive = std::chrono::floor<std::chrono::seconds>(*end - now);
            const bool isExtendable = this->isExtendable(model, version);
            isAnyExtendable = isAnyExtendable || isExtendable;
            const auto margin = isExtendable ? confirmationRewriteMargin : milliseconds(0);
            if (timeToLive >= minConfirmationTtl)
                this->confirmMayStillAnswer(model, version, timeToLive, now + timeToLive - margin);
        }
    }
    if (isAnyExtendable)
        this->checkObservation();
}

void WeightsRollout::claimConfirmations()
{
    for (const auto& [model, wanted] : this->directory.allWantedWeights()) {
        if (this->confirmedFor[model].version < wanted)
            this->claimConfirmation(model, wanted);
    }
}

bool WeightsRollout::hasUnclaimedVersions() const
{
    const auto& wanted = this->directory.allWantedWeights();
    return std::any_of(wanted.begin(), wanted.end(), [this](const auto& entry) {
        const auto confirmed = this->confirmedFor.find(entry.first);
        return confirmed == this->confirmedFor.end() || confirmed->second.version < entry.second;
    });
}

/// Records that the versions of @p model below @p wanted are confirmed, before they are. Only one instance succeeds.
void WeightsRollout::claimConfirmation(const std::string& model, uint64_t wanted)
{
    auto& confirmed = this->confirmedFor[model];
    if (Clock::now() < confirmed.nextClaimAt)
        return;
    confirmed.nextClaimAt = Clock::now() + callTimeout; // at the latest, the call has failed by then
    this->metrics.platformCalls.Increment();
    const auto key = std::string(confirmedForPrefix) + model;
    this->store.compareAndSwap(key, confirmed.revision, std::to_string(wanted), Clock::now() + callTimeout,
        [this, key, model, wanted, former = confirmed.version](const store::SwapResult& result) {
            auto& claimed = this->confirmedFor[model];
            if (const auto* swapped = std::get_if<store::Swapped>(&result))
                claimed = { wanted, swapped->modRevision, former, {}, this->observation };
            else if (const auto* conflict = std::get_if<store::Conflict>(&result))
                this->applyRecord(
                    { key, conflict->current.value, conflict->current.modRevision }, conflict->current.modRevision > 0);
            else
                logChange(LogLevel::Warning, "confirmation of replaced weights failed",
                    { { "model", model }, { "version", std::to_string(wanted) } });
        });
}

/// Until when @p version may be confirmed; nullopt if this instance may not confirm it.
std::optional<BootClock::time_point> WeightsRollout::confirmationEnd(const std::string& model, uint64_t version) const
{
    const auto replacement = this->directory.replacementOf(model, version);
    if (!replacement)
        return std::nullopt;
    if (replacement->isTimeKnown())
        return replacement->notBefore + this->usableTime();
    // The first leader that learns of the replacement after a restart of all instances.
    const auto& claim = this->confirmedFor.at(model);
    if (!claim.formerVersion || version < *claim.formerVersion || !claim.observed.revision)
        return std::nullopt;
    return claim.observed.existedAt - this->observationTtl() - observationLag + this->usableTime();
}

/// Whether the end of a confirmation moves on, because the observation that bounds it still exists.
bool WeightsRollout::isExtendable(const std::string& model, uint64_t version) const
{
    return !this->directory.replacementOf(model, version)->isTimeKnown() && this->isObservationPresent
        && this->confirmedFor.at(model).observed.revision == this->observation.revision;
}

/// How long requests may be sent to replaced weights.
std::chrono::milliseconds WeightsRollout::usableTime() const
{
    return this->settings.replacedWeightsGracePeriod - directory::replacedWeightsMargin;
}

/// Time to live of an observation: as long as a confirmation that follows from it is still worth its calls. Zero if
/// replaced weights may answer for too short a time.
std::chrono::seconds WeightsRollout::observationTtl() const
{
    const auto left = this->usableTime() - observationLag - minConfirmationTtl - confirmationRewriteMargin
        - confirmationGranularity;
    return std::max(std::chrono::floor<std::chrono::seconds>(left), std::chrono::seconds(0));
}

void WeightsRollout::refreshObservations()
{
    if (this->isObservationPresent)
        this->extendObservation(this->recordsAsOf());
}

/// The changes of the records say only once a watch has ended that there was none.
void WeightsRollout::checkObservation()
{
    if (Clock::now() < this->nextObservationCheckAt)
        return;
    this->nextObservationCheckAt = Clock::now() + observationInterval;
    this->metrics.platformCalls.Increment();
    this->store.checkRevision(std::string(observationKey), this->observation.revision, Clock::now() + callTimeout,
        [this, checkedAt = BootClock::now(), revision = this->observation.revision](const store::CheckResult& result) {
            const auto* unchanged = std::get_if<store::Unchanged>(&result);
            if (unchanged && revision == this->observation.revision)
                this->extendObservation(checkedAt - unchanged->age);
        });
}

/// The observation existed at @p time.
void WeightsRollout::extendObservation(BootClock::time_point time)
{
    this->observation.existedAt = std::max(this->observation.existedAt, time);
    for (auto& [model, claim] : this->confirmedFor) {
        if (claim.observed.revision == this->observation.revision)
            claim.observed = this->observation;
    }
}

void WeightsRollout::publishObservation()
{
    const auto now = BootClock::now();
    const auto ttl = this->observationTtl();
    if (!this->leadership.current() || now >= this->leadership.current()->ordersUntil || !ttl.count()
        || this->isObservationInFlight || Clock::now() < this->nextObservationAt || this->hasUnclaimedVersions()
        || now - this->recordsAsOf() > maxObservationAge)
        return;
    if (!this->observationLease) {
        // That of a former leader may still bound the age of weights that are being replaced.
        if (this->isObservationPresent && (this->hasOutdatedEngines() || !this->directory.routes()))
            return;
        this->nextObservationAt = Clock::now() + observationInterval;
        this->isObservationInFlight = true;
        this->metrics.platformCalls.Increment();
        this->store.grantLease(ttl, Clock::now() + renewalTimeout, [this](const store::LeaseResult& result) {
            this->isObservationInFlight = false;
            if (const auto* lease = std::get_if<int64_t>(&result))
                this->writeObservation(*lease);
        });
        return;
    }
    this->nextObservationAt = Clock::now() + observationInterval;
    this->isObservationInFlight = true;
    this->metrics.platformCalls.Increment();
    this->store.renewLease(
        *this->observationLease, Clock::now() + renewalTimeout, [this](const store::LeaseResult& result) {
            this->isObservationInFlight = false;
            if (const auto* failure = std::get_if<store::StoreFailure>(&result);
                failure && *failure == store::StoreFailure::NotExecuted)
                this->observationLease.reset();
        });
}

void WeightsRollout::writeObservation(int64_t lease)
{
    if (!this->leadership.current() || this->hasUnclaimedVersions())
        return;
    this->isObservationInFlight = true;
    this->metrics.platformCalls.Increment();
    this->store.put(std::string(observationKey), this->settings.instance, lease, Clock::now() + renewalTimeout,
        [this, lease](const store::WriteResult& result) {
            this->isObservationInFlight = false;
            if (std::holds_alternative<Success>(result) && this->leadership.current())
                this->observationLease = lease;
        });
}

void WeightsRollout::confirmMayStillAnswer(
    const std::string& model, uint64_t version, std::chrono::seconds timeToLive, BootClock::time_point rewriteAt)
{
    const auto key = std::string(mayStillAnswerPrefix) + model + "/" + std::to_string(version);
    if (!this->confirmedKeys.emplace(key, rewriteAt).second)
        return;
    this->metrics.platformCalls.Increment();
    this->store.grantLease(
        timeToLive, Clock::now() + callTimeout, [this, key, timeToLive](const store::LeaseResult& result) {
            const auto* lease = std::get_if<int64_t>(&result);
            if (!lease) {
                this->retryConfirmation(key);
                return;
            }
            this->metrics.platformCalls.Increment();
            this->store.put(key, this->settings.instance + std::string(boundedSuffix), *lease,
                Clock::now() + callTimeout, [this, key, timeToLive](const store::WriteResult& result) {
                    if (!std::holds_alternative<Success>(result))
                        this->retryConfirmation(key);
                    else
                        logChange(LogLevel::Info, "replaced weights confirmed",
                            { { "key", key }, { "seconds", std::to_string(timeToLive.count()) } });
                });
        });
}

void WeightsRollout::retryConfirmation(const std::string& key)
{
    logChange(LogLevel::Warning, "confirmation of replaced weights failed", { { "key", key } });
    this->confirmedKeys[key] = BootClock::now() + confirmationRetryInterval;
}

void WeightsRollout::applyLeaderKeyState(bool exists)
{
    this->leaderExists = exists;
    if (exists || this->stopping || this->leadership.current() || this->isAcquiring || this->acquireTimer.isActive())
        return;
    this->acquireTimer.start(QRandomGenerator::global()->bounded(acquireJitterMs));
}

void WeightsRollout::acquireLeadership()
{
    if (this->leaderExists || this->stopping || this->leadership.current() || this->isAcquiring)
        return;
    this->isAcquiring = true;
    const auto requestedAt = BootClock::now();
    const auto timeToLive = std::chrono::ceil<std::chrono::seconds>(this->settings.leaderLease.leaseDuration);
    this->metrics.platformCalls.Increment();
    this->store.grantLease(
        timeToLive, Clock::now() + callTimeout, [this, requestedAt](const store::LeaseResult& result) {
            if (const auto* lease = std::get_if<int64_t>(&result)) {
                this->writeLeaderKey(*lease, requestedAt);
                return;
            }
            this->isAcquiring = false;
            this->acquireTimer.start(acquireBackoff);
        });
}

void WeightsRollout::writeLeaderKey(int64_t lease, BootClock::time_point leaseRequestedAt)
{
    this->metrics.platformCalls.Increment();
    this->store.compareAndSwapLeased(leaderKey, 0, this->settings.instance, lease, Clock::now() + callTimeout,
        [this, lease, leaseRequestedAt](const store::LeasedSwapResult& result) {
            this->isAcquiring = false;
            if (const auto* swapped = std::get_if<store::Swapped>(&result)) {
                this->leaderExists = true;
                this->leadership.acquire(lease, swapped->modRevision, leaseRequestedAt, BootClock::now());
                logChange(LogLevel::Info, "became leader: sends orders to engines",
                    { { "token", std::to_string(swapped->modRevision) } });
                this->renewTimer.start(this->settings.leaderLease.leaseDuration / renewalsPerLease);
                this->observationTimer.start(observationCheckInterval);
                this->scheduleRollout();
                return;
            }
            this->leaderExists = std::holds_alternative<store::Conflict>(result);
            this->store.endLease(lease, Clock::now() + callTimeout, [](const store::WriteResult&) {});
            // A write without an answer may have created the key; ending its lease removes it.
            if (!this->leaderExists)
                this->acquireTimer.start(acquireBackoff);
        });
}

void WeightsRollout::renewLease()
{
    const auto now = BootClock::now();
    if (!this->leadership.current())
        return;
    if (this->leadership.expire(now)) {
        this->endLeadership("the lease may have expired");
        return;
    }
    const auto lease = this->leadership.current()->leaseId;
    this->metrics.platformCalls.Increment();
    this->store.renewLease(lease, Clock::now() + renewalTimeout, [this, lease, now](const store::LeaseResult& result) {
        const bool isRenewed = std::holds_alternative<int64_t>(result);
        if (isRenewed)
            this->leadership.renew(lease, now);
        if (this->leadership.current())
            this->renewTimer.start(
                isRenewed ? this->settings.leaderLease.leaseDuration / renewalsPerLease : renewalRetryInterval);
    });
}

void WeightsRollout::endLeadership(const char* reason)
{
    this->leadership.drop();
    this->renewTimer.stop();
    this->observationTimer.stop();
    this->loads.clear();
    this->updateMetrics();
    this->observationLease.reset(); // it ends by itself, and bounds the time until then
    logChange(LogLevel::Warning, "leadership ended: sends no more orders to engines", { { "reason", reason } });
    this->acquireTimer.start(
        acquireBackoff + std::chrono::milliseconds(QRandomGenerator::global()->bounded(acquireJitterMs)));
}

void WeightsRollout::onStoreReturned()
{
    this->confirmedKeys.clear();
    this->observation = {};
    this->isObservationPresent = false;
    for (auto& [model, claim] : this->confirmedFor)
        claim.observed = {};
    // The lease is not ended: another instance may have been granted one under the same id.
    if (this->leadership.current())
        this->endLeadership("the platform's store has returned from an older copy");
}

void WeightsRollout::scheduleRollout()
{
    this->updateMetrics();
    const bool hasWork = this->hasOutdatedEngines() || this->hasUnclaimedVersions();
    if (this->leadership.current() && !this->rolloutTimer.isActive() && hasWork)
        this->rolloutTimer.start(0);
}

bool WeightsRollout::isServing(const directory::Target& target) const
{
    return !target.registration.isDraining && !this->isLeaving(target.registration);
}

bool WeightsRollout::isOutdated(const directory::Target& target) const
{
    return std::ranges::any_of(target.registration.weights,
               [this](const auto& weights) {
                   return weights.second && weights.second < this->directory.wantedWeights(weights.first);
               })
        && this->isServing(target) && this->directory.isEngine(target.registration);
}

bool WeightsRollout::hasOutdatedEngines() const
{
    return std::ranges::any_of(
        this->directory.targets(), [this](const auto& entry) { return this->isOutdated(*entry.second); });
}

void WeightsRollout::updateMetrics()
{
    ptrdiff_t outdated = 0;
    if (this->leadership.current())
        outdated = std::ranges::count_if(
            this->directory.targets(), [this](const auto& entry) { return this->isOutdated(*entry.second); });
    const auto failed = std::ranges::count_if(this->loads, [](const auto& entry) { return entry.second.failures > 0; });
    this->metrics.outdatedEngines.Set(static_cast<double>(outdated));
    this->metrics.enginesNotLoading.Set(static_cast<double>(failed));
}

void WeightsRollout::advanceRollout()
{
    if (!this->leadership.current())
        return;
    if (this->leadership.expire(BootClock::now())) {
        this->endLeadership("the lease may have expired");
        return;
    }
    for (auto load = this->loads.begin(); load != this->loads.end();) {
        const auto found = this->directory.targets().find(load->first);
        const bool isGone = found == this->directory.targets().end() || this->isLeaving(found->second->registration)
            || !this->directory.isEngine(found->second->registration);
        load = isGone ? this->loads.erase(load) : std::next(load);
    }
    this->logTargetsLeftOut();
    this->refreshObservations();
    this->claimConfirmations();
    this->confirmReplacedWeights();
    this->endOverduePlaces(Clock::now());
    if (this->leadership.maySendOrders(BootClock::now())) {
        for (const auto& [model, wanted] : this->directory.allWantedWeights())
            this->planModel(model, wanted);
    }
    this->updateMetrics();
    if (this->hasOutdatedEngines() || this->hasUnclaimedVersions())
        this->rolloutTimer.start(rolloutInterval);
}

/// Logs each target once whose weights are outdated but which takes no part in the rollout, as its service has no
/// engines.
void WeightsRollout::logTargetsLeftOut()
{
    std::erase_if(this->leftOut, [this](const std::string& id) {
        const auto found = this->directory.targets().find(id);
        return found == this->directory.targets().end() || this->directory.isEngine(found->second->registration);
    });
    for (const auto& [id, target] : this->directory.targets()) {
        const auto& registration = target->registration;
        const bool isOutdated = std::ranges::any_of(registration.weights,
            [this](const auto& weights) { return weights.second < this->directory.wantedWeights(weights.first); });
        if (!isOutdated || !this->directory.routes() || this->directory.isEngine(registration)
            || !this->leftOut.insert(id).second)
            continue;
        logChange(LogLevel::Warning, "target left out of the roll-out: its service has no engines",
            { { "target", id }, { "service", registration.service }, { "address", registration.endpoint.toString() },
                { "config", std::to_string(this->directory.routes()->version()) } });
    }
}

RolloutPace WeightsRollout::pace(const std::string& model, uint64_t wanted) const
{
    auto timeToComplete = this->usableTime();
    // After a loss of all instances part of the time is over, and what is left is known only if some leader observed
    // it.
    const auto replacement = this->directory.replacementOf(model, wanted - 1);
    if (replacement && !replacement->isTimeKnown() && this->confirmedFor.contains(model)) {
        const auto end = this->confirmationEnd(model, wanted - 1).value_or(BootClock::time_point());
        const auto left = std::chrono::floor<std::chrono::milliseconds>(end - BootClock::now());
        timeToComplete = std::clamp(left, std::chrono::milliseconds(1), timeToComplete);
    }
    return { this->settings.parallelShare, std::max(this->loadTime, this->oldestPendingOrder()), timeToComplete };
}

std::chrono::milliseconds WeightsRollout::oldestPendingOrder() const
{
    std::chrono::milliseconds oldest { 0 };
    for (const auto& [id, load] : this->loads) {
        if (load.holdsPlace && load.unansweredSince)
            oldest = std::max(
                oldest, std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - *load.unansweredSince));
    }
    return oldest;
}

void WeightsRollout::recordLoadTime(const EngineLoad& load)
{
    const auto since = load.unansweredSince ? load.unansweredSince : load.orderedAt;
    if (!since)
        return;
    const auto sample = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - *since);
    // An engine that returns long after its place has ended says nothing about the time of a load.
    if (load.holdsPlace || sample <= this->usableTime())
        this->loadTime += (sample - this->loadTime) / loadTimeSmoothingDivisor;
}

void WeightsRollout::onLoadCompleted(const std::string& targetId)
{
    const auto load = this->loads.find(targetId);
    if (load == this->loads.end())
        return;
    this->recordLoadTime(load->second);
    if (load->second.failures)
        logChange(LogLevel::Info, "engine has loaded weights after all",
            { { "target", targetId }, { "version", std::to_string(load->second.version) },
                { "failures", std::to_string(load->second.failures) } });
    this->loads.erase(load);
}

void WeightsRollout::onLoadFailed(const std::string& targetId, const char* reason)
{
    const auto found = this->loads.find(targetId);
    if (found == this->loads.end() || !found->second.holdsPlace)
        return;
    auto& load = found->second;
    const auto now = Clock::now();
    releasePlace(load, now);
    if (load.failures == 1)
        logChange(LogLevel::Warning, "engine does not load weights: the roll-out goes on without it",
            { { "target", targetId }, { "version", std::to_string(load.version) }, { "reason", reason },
                { "retry_ms", std::to_string(remaining(load.checkAt, now).count()) } });
    this->updateMetrics();
}

void WeightsRollout::endOverduePlaces(Clock::time_point now)
{
    std::vector<std::string> overdue;
    for (const auto& [id, load] : this->loads) {
        if (load.holdsPlace && now >= load.placeUntil)
            overdue.push_back(id);
    }
    for (const auto& id : overdue) {
        const auto& load = this->loads.at(id);
        const auto* waitsFor = load.isOrderPending() ? "its order is pending" : "its load takes too long";
        this->onLoadFailed(id, load.hasReported ? waitsFor : "no report");
    }
}

/// The engines of @p model that have failed to load or have not, in as far as they load or may be ordered to now.
/// @param count receives the number of all such engines
std::vector<EngineState> WeightsRollout::statesOf(const std::string& model, bool haveFailed, size_t& count)
{
    const auto now = Clock::now();
    std::vector<EngineState> states;
    for (const auto& [id, target] : this->directory.targets()) {
        const auto version = target->weightsOf(model);
        if (!version || !this->isServing(*target) || !this->directory.isEngine(target->registration))
            continue;
        const auto found = this->loads.find(id);
        const auto load = found == this->loads.end() ? EngineLoad {} : found->second;
        if (haveFailed != (load.failures > 0))
            continue;
        if (!load.holdsPlace && !this->mayCall(target->registration))
            continue;
        ++count;
        if (load.holdsPlace && load.model != model)
            continue; // its turn for this model comes next
        if (!load.holdsPlace && (load.isCallInFlight || now < load.checkAt))
            continue;
        states.push_back({ id, target->registration.dataCentre, version, load.holdsPlace,
            target->state->inFlight.load(std::memory_order_relaxed), load.isOrderPending(), load.failures });
    }
    return states;
}

void WeightsRollout::planModel(const std::string& model, uint64_t wanted)
{
    const auto now = Clock::now();
    std::vector<directory::TargetPointer> due;
    for (const auto& [id, target] : this->directory.targets()) {
        const auto version = target->weightsOf(model);
        const auto load = this->loads.find(id);
        if (!version || load == this->loads.end() || load->second.model != model || !this->isServing(*target))
            continue;
        if (version >= load->second.version)
            this->onLoadCompleted(id);
        else if (load->second.holdsPlace && !load->second.isCallInFlight && now >= load->second.checkAt
            && this->mayCall(target->registration))
            due.push_back(target);
    }
    for (const auto& target : due)
        this->queryReport(target, model, wanted);
    const auto pace = this->pace(model, wanted);
    // Places apart, so that engines that fail again and again leave those of the others alone, and those that return
    // together do not all load at once.
    for (const bool haveFailed : { false, true }) {
        size_t count = 0;
        const auto states = this->statesOf(model, haveFailed, count);
        const auto maxLoading = maxParallelLoads(count, pace);
        const auto maxPending = maxPendingOrders(count, pace, this->oldestPendingOrder());
        for (const auto& id : chooseNextLoads(states, wanted, maxLoading, maxPending)) {
            auto& load = this->loads[id];
            takePlace(
                load, model, wanted, now + maxTimeToReport(load, maxPlaceTime(this->loadTime, pace.timeToComplete)));
            this->queryReport(this->directory.targets().at(id), model, wanted);
        }
    }
}

void WeightsRollout::callEngine(const directory::Target& target, const http::Request& request,
    std::function<void(const http::ResponseHead*, std::string_view)> done)
{
    struct Answer {
        http::ResponseHead head;
        std::string body;
    };
    auto answer = std::make_shared<Answer>();
    const auto now = Clock::now();
    http::CallEvents events;
    events.mayWrite = [this, registration = target.registration] { return this->mayCall(registration); };
    events.onHead = [this, answer, registration = target.registration](const http::ResponseHead& head) {
        answer->head = head;
        this->onAnswer(registration, head);
    };
    events.onBody = [answer](std::string_view bytes) { answer->body.append(bytes); };
    events.onComplete = [answer, done] { done(&answer->head, answer->body); };
    events.onFailure = [done](const http::CallFailure&) { done(nullptr, {}); };
    this->engines.send(
        target.registration.endpoint, request, { now + connectTimeout, now + callTimeout, false }, std::move(events));
}

void WeightsRollout::queryReport(const directory::TargetPointer& target, const std::string& model, uint64_t version)
{
    const auto& id = target->registration.id;
    auto& queried = this->loads[id];
    if (queried.version != version) {
        // The place lasts as long as before, and orders that were not answered stay pending.
        if (queried.orderedAt)
            queried.unansweredSince.reset();
        queried.orderedAt.reset();
        queried.isBusy = false;
    }
    queried.version = version;
    queried.checkAt = Clock::now() + reportRetryInterval;
    queried.isCallInFlight = true;
    this->metrics.probes.Increment();
    this->callEngine(*target, this->api.reportRequest(id),
        [this, target, model, version](const http::ResponseHead* head, std::string_view body) {
            const auto load = this->loads.find(target->registration.id);
            if (load == this->loads.end() || load->second.model != model)
                return;
            load->second.isCallInFlight = false;
            if (load->second.holdsPlace)
                load->second.checkAt = Clock::now() + reportRetryInterval;
            const auto report = head ? this->api.readReport(*head, body)
                                     : Error { ErrorKind::TargetFailed, "no answer", Execution::NotRun, {} };
            const auto* error = errorOf(report);
            if (!error) {
                this->onReport(target, model, version, std::get<EngineReport>(report));
                return;
            }
            if (head && !load->second.failures)
                logChange(LogLevel::Warning, "invalid report from engine",
                    { { "target", target->registration.id }, { "reason", error->detail } });
            if (!load->second.mayBeLoading())
                this->onLoadFailed(target->registration.id, "no report");
        });
}

void WeightsRollout::onReport(
    const directory::TargetPointer& target, const std::string& model, uint64_t version, const EngineReport& report)
{
    const auto& id = target->registration.id;
    const auto running = report.weights.find(model);
    if (running != report.weights.end() && running->second >= version) {
        target->registration.weights[model] = running->second;
        this->onLoadCompleted(id);
        this->scheduleRollout();
        return;
    }
    auto& load = this->loads.at(id);
    load.isBusy = report.isBusy;
    if (!std::exchange(load.hasReported, true))
        load.placeUntil = Clock::now() + maxPlaceTime(this->loadTime, this->pace(model, version).timeToComplete);
    if (report.isBusy || !load.holdsPlace || !this->leadership.maySendOrders(BootClock::now())
        || !this->mayCall(target->registration) || !this->directory.isEngine(target->registration))
        return;
    const auto token = this->leadership.current()->fencingToken;
    this->sendOrder(target, { id, model, version, this->settings.instance, token, report.ordersAccepted });
}

void WeightsRollout::sendOrder(const directory::TargetPointer& target, const LoadOrder& order)
{
    const auto sentAt = Clock::now();
    this->loads[order.targetId].isCallInFlight = true;
    logChange(LogLevel::Info, "order sent to engine to load weights",
        { { "target", order.targetId }, { "model", order.model }, { "version", std::to_string(order.version) },
            { "token", std::to_string(order.fencingToken) },
            { "orders_before", std::to_string(order.acceptedBefore) } });
    this->callEngine(*target, this->api.orderRequest(order),
        [this, target, order, sentAt](const http::ResponseHead* head, std::string_view) {
            this->onOrdered(target, order, head ? this->api.readOrderAnswer(*head) : OrderOutcome::Unknown, sentAt);
        });
}

void WeightsRollout::onOrdered(
    const directory::TargetPointer& target, const LoadOrder& order, OrderOutcome outcome, Clock::time_point sentAt)
{
    const auto load = this->loads.find(order.targetId);
    if (load == this->loads.end() || load->second.model != order.model)
        return;
    load->second.isCallInFlight = false;
    const auto pace = this->pace(order.model, order.version);
    switch (outcome) {
    case OrderOutcome::Accepted:
        if (!load->second.orderedAt) {
            load->second.orderedAt = Clock::now();
            load->second.placeUntil = Clock::now() + maxPlaceTime(this->loadTime, pace.timeToComplete);
        }
        load->second.checkAt = Clock::now() + loadCheckDelay;
        break;
    case OrderOutcome::AlreadyDone:
        target->registration.weights[order.model] = order.version;
        this->loads.erase(load);
        break;
    case OrderOutcome::Fenced:
        this->endLeadership("an engine has seen a newer fencing token");
        return;
    case OrderOutcome::Unknown:
        if (!load->second.unansweredSince) {
            load->second.unansweredSince = sentAt;
            load->second.placeUntil = std::max(load->second.placeUntil, pendingPlaceEnd(sentAt, pace.timeToComplete));
        }
        [[fallthrough]];
    case OrderOutcome::Busy:
    case OrderOutcome::Refused:
        logChange(LogLevel::Warning, "order not accepted by engine",
            { { "target", order.targetId }, { "version", std::to_string(order.version) },
                { "unknown", outcome == OrderOutcome::Unknown ? "yes" : "no" } });
        load->second.checkAt = Clock::now() + reportRetryInterval;
        if (outcome == OrderOutcome::Refused && !load->second.mayBeLoading())
            this->onLoadFailed(order.targetId, "it refuses the order");
        break;
    }
}

void WeightsRollout::stop(std::function<void()> done)
{
    this->stopping = true;
    this->acquireTimer.stop();
    this->rolloutTimer.stop();
    this->renewTimer.stop();
    this->observationTimer.stop();
    const auto held = this->leadership.current();
    this->leadership.drop();
    this->updateMetrics();
    if (!held) {
        done();
        return;
    }
    this->store.endLease(
        held->leaseId, Clock::now() + callTimeout, [done = std::move(done)](const store::WriteResult&) { done(); });
}

}

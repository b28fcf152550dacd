#include "weights/WeightsRollout.h"

#include "observe/Log.h"
#include "weights/RolloutPlan.h"

#include <QRandomGenerator>
#include <algorithm>

namespace dragonfly::weights {

using observe::logChange;
using observe::LogLevel;

namespace {

    constexpr std::chrono::milliseconds callTime { 800 };
    constexpr std::chrono::milliseconds connectTime { 400 };
    /// Instances that see the role become free try for it within this time, so that mostly one does.
    constexpr int takeJitterMs = 400;
    /// Before the next try for the role after one that failed without an answer.
    constexpr std::chrono::milliseconds takePause { 1000 };
    /// Renewals in one lease.
    constexpr int renewalsPerLease = 3;
    /// Longest answer time of a renewal, so that several fit into what is left of a lease.
    constexpr std::chrono::milliseconds renewalTime { 400 };
    /// The next renewal after one that failed.
    constexpr std::chrono::milliseconds renewalRetry { 100 };
    /// Shorter marks for replaced weights are not worth their calls.
    constexpr std::chrono::seconds shortestVouch { 2 };
    /// How often the plan is looked at while engines are behind.
    constexpr std::chrono::milliseconds stepPeriod { 150 };
    /// An engine whose new weights were not seen by then is asked for a report: its registration may tell of them
    /// a heartbeat late, and others wait for its place.
    constexpr std::chrono::milliseconds loadTime { 1100 };
    /// Before the next report of an engine that was busy or did not answer.
    constexpr std::chrono::milliseconds busyPause { 400 };

}

WeightsRollout::WeightsRollout(const RolloutSettings& settings, store::WatchableStore& store, const EngineApi& api,
    directory::Directory& directory, observe::Metrics& metrics)
    : settings(settings)
    , store(store)
    , api(api)
    , directory(directory)
    , metrics(metrics)
    , role(settings.role)
{
    for (auto* timer : { &this->takeTimer, &this->renewTimer, &this->stepTimer })
        timer->setSingleShot(true);
    connect(&this->takeTimer, &QTimer::timeout, this, &WeightsRollout::takeRole);
    connect(&this->renewTimer, &QTimer::timeout, this, &WeightsRollout::renewRole);
    connect(&this->stepTimer, &QTimer::timeout, this, &WeightsRollout::step);
}

void WeightsRollout::noteKey(const std::string& key, bool exists)
{
    if (key == roleKey) {
        this->noteRole(exists);
        return;
    }
    const auto slash = key.rfind('/');
    if (!key.starts_with(vouchPrefix) || slash < vouchPrefix.size())
        return;
    const auto model = key.substr(vouchPrefix.size(), slash - vouchPrefix.size());
    this->directory.vouchFor(model, std::strtoull(key.c_str() + slash + 1, nullptr, 10), exists);
}

void WeightsRollout::vouchForReplaced()
{
    const auto now = Clock::now();
    std::erase_if(this->vouched, [now](const auto& entry) { return entry.second <= now; });
    for (const auto& [id, target] : this->directory.targets()) {
        for (const auto& [model, version] : target->registration.weights) {
            const auto replacedAt = this->directory.replacedAt(model, version);
            if (!replacedAt || *replacedAt == Clock::time_point())
                continue;
            const auto end = *replacedAt + this->settings.weightsTime - directory::weightsMargin;
            // Rounded down: the mark must not outlast what it stands for.
            const auto time = std::chrono::floor<std::chrono::seconds>(end - now);
            if (time >= shortestVouch)
                this->vouchFor(model, version, time);
        }
    }
}

void WeightsRollout::vouchFor(const std::string& model, uint64_t version, std::chrono::seconds time)
{
    const auto key = std::string(vouchPrefix) + model + "/" + std::to_string(version);
    if (!this->vouched.emplace(key, Clock::now() + time).second)
        return;
    this->metrics.platformCalls.Increment();
    this->store.grantLease(time, Clock::now() + callTime, [this, key](const store::LeaseResult& result) {
        const auto* lease = std::get_if<int64_t>(&result);
        if (!lease)
            return;
        this->metrics.platformCalls.Increment();
        this->store.put(
            key, this->settings.instance, *lease, Clock::now() + callTime, [](const store::WriteResult&) {});
    });
}

void WeightsRollout::noteRole(bool taken)
{
    this->isTaken = taken;
    if (taken || this->stopping || this->role.current() || this->isTaking || this->takeTimer.isActive())
        return;
    this->takeTimer.start(QRandomGenerator::global()->bounded(takeJitterMs));
}

void WeightsRollout::takeRole()
{
    if (this->isTaken || this->stopping || this->role.current() || this->isTaking)
        return;
    this->isTaking = true;
    const auto askedAt = BootClock::now();
    const auto life = std::chrono::ceil<std::chrono::seconds>(this->settings.role.leaseTime);
    this->metrics.platformCalls.Increment();
    this->store.grantLease(life, Clock::now() + callTime, [this, askedAt](const store::LeaseResult& result) {
        if (const auto* lease = std::get_if<int64_t>(&result)) {
            this->writeRole(*lease, askedAt);
            return;
        }
        this->isTaking = false;
        this->takeTimer.start(takePause);
    });
}

void WeightsRollout::writeRole(int64_t lease, BootClock::time_point leaseAskedAt)
{
    this->metrics.platformCalls.Increment();
    this->store.compareAndSwapLeased(roleKey, 0, this->settings.instance, lease, Clock::now() + callTime,
        [this, lease, leaseAskedAt](const store::LeasedSwapResult& result) {
            this->isTaking = false;
            if (const auto* swapped = std::get_if<store::Swapped>(&result)) {
                this->isTaken = true;
                this->role.take(lease, swapped->modRevision, leaseAskedAt, BootClock::now());
                logChange(
                    LogLevel::Info, "gives orders to engines", { { "token", std::to_string(swapped->modRevision) } });
                this->renewTimer.start(this->settings.role.leaseTime / renewalsPerLease);
                this->noteChange();
                return;
            }
            this->isTaken = std::holds_alternative<store::Conflict>(result);
            this->store.endLease(lease, Clock::now() + callTime, [](const store::WriteResult&) {});
            // A write without an answer may have taken the key; the lease that was ended takes it away again.
            if (!this->isTaken)
                this->takeTimer.start(takePause);
        });
}

void WeightsRollout::renewRole()
{
    const auto now = BootClock::now();
    if (!this->role.current())
        return;
    if (this->role.expire(now)) {
        this->loseRole("the lease may have ended");
        return;
    }
    const auto lease = this->role.current()->lease;
    this->metrics.platformCalls.Increment();
    this->store.keepLease(lease, Clock::now() + renewalTime, [this, lease, now](const store::LeaseResult& result) {
        const bool isRenewed = std::holds_alternative<int64_t>(result);
        if (isRenewed)
            this->role.renew(lease, now);
        if (this->role.current())
            this->renewTimer.start(isRenewed ? this->settings.role.leaseTime / renewalsPerLease : renewalRetry);
    });
}

void WeightsRollout::loseRole(const char* reason)
{
    this->role.drop();
    this->renewTimer.stop();
    this->loads.clear();
    logChange(LogLevel::Warning, "gives no more orders to engines", { { "reason", reason } });
    this->takeTimer.start(takePause + std::chrono::milliseconds(QRandomGenerator::global()->bounded(takeJitterMs)));
}

void WeightsRollout::noteChange()
{
    if (this->role.current() && !this->stepTimer.isActive() && this->isBehind())
        this->stepTimer.start(0);
}

bool WeightsRollout::isBehind() const
{
    for (const auto& [model, wanted] : this->directory.allWantedWeights()) {
        for (const auto& [id, target] : this->directory.targets()) {
            const auto version = target->weightsOf(model);
            if (version && version < wanted && !target->registration.isDraining)
                return true;
        }
    }
    return false;
}

void WeightsRollout::step()
{
    if (!this->role.current())
        return;
    if (this->role.expire(BootClock::now())) {
        this->loseRole("the lease may have ended");
        return;
    }
    for (auto load = this->loads.begin(); load != this->loads.end();) {
        const auto found = this->directory.targets().find(load->first);
        const bool isGone = found == this->directory.targets().end();
        load = isGone ? this->loads.erase(load) : std::next(load);
    }
    this->vouchForReplaced();
    if (this->role.mayOrder(BootClock::now())) {
        for (const auto& [model, wanted] : this->directory.allWantedWeights())
            this->planModel(model, wanted);
    }
    if (this->isBehind())
        this->stepTimer.start(stepPeriod);
}

void WeightsRollout::planModel(const std::string& model, uint64_t wanted)
{
    const auto now = Clock::now();
    std::vector<EngineState> states;
    for (const auto& [id, target] : this->directory.targets()) {
        const auto version = target->weightsOf(model);
        if (!version || target->registration.isDraining)
            continue;
        auto load = this->loads.find(id);
        if (load != this->loads.end() && version >= load->second.version) {
            this->loads.erase(load);
            load = this->loads.end();
        }
        const bool isLoading = load != this->loads.end();
        if (isLoading && !load->second.isAsking && now >= load->second.checkAt)
            this->ask(target, model, wanted);
        states.push_back({ id, target->registration.dataCentre, version, isLoading,
            target->state->inFlight.load(std::memory_order_relaxed) });
    }
    for (const auto& id : chooseNextLoads(states, wanted, this->settings.parallelShare))
        this->ask(this->directory.targets().at(id), model, wanted);
}

void WeightsRollout::call(const directory::Target& target, const http::Request& request,
    std::function<void(const http::ResponseHead*, std::string_view)> done)
{
    struct Answer {
        http::ResponseHead head;
        std::string body;
    };
    auto answer = std::make_shared<Answer>();
    const auto now = Clock::now();
    http::CallEvents events;
    events.onHead = [answer](const http::ResponseHead& head) { answer->head = head; };
    events.onBody = [answer](std::string_view bytes) { answer->body.append(bytes); };
    events.onComplete = [answer, done] { done(&answer->head, answer->body); };
    events.onFailure = [done](const http::CallFailure&) { done(nullptr, {}); };
    this->engines.send(
        target.registration.endpoint, request, { now + connectTime, now + callTime, false }, std::move(events));
}

void WeightsRollout::ask(const directory::TargetPointer& target, const std::string& model, uint64_t version)
{
    const auto& id = target->registration.id;
    this->loads[id] = { version, Clock::now() + busyPause, true };
    this->metrics.probes.Increment();
    this->call(*target, this->api.reportRequest(id),
        [this, target, model, version](const http::ResponseHead* head, std::string_view body) {
            const auto load = this->loads.find(target->registration.id);
            if (load == this->loads.end())
                return;
            load->second.isAsking = false;
            load->second.checkAt = Clock::now() + busyPause;
            if (!head)
                return;
            const auto report = this->api.readReport(*head, body);
            if (const auto* error = errorOf(report))
                logChange(LogLevel::Warning, "engine gives no report",
                    { { "target", target->registration.id }, { "reason", error->detail } });
            else
                this->onReport(target, model, version, std::get<EngineReport>(report));
        });
}

void WeightsRollout::onReport(
    const directory::TargetPointer& target, const std::string& model, uint64_t version, const EngineReport& report)
{
    const auto& id = target->registration.id;
    const auto running = report.weights.find(model);
    if (running != report.weights.end() && running->second >= version) {
        target->registration.weights[model] = running->second;
        this->loads.erase(id);
        this->noteChange();
        return;
    }
    if (report.isBusy || !this->role.mayOrder(BootClock::now()))
        return;
    const auto token = this->role.current()->fencingToken;
    this->order(target, { id, model, version, this->settings.instance, token, report.ordersAccepted });
}

void WeightsRollout::order(const directory::TargetPointer& target, const LoadOrder& order)
{
    this->loads[order.targetId].isAsking = true;
    logChange(LogLevel::Info, "engine is ordered to load weights",
        { { "target", order.targetId }, { "model", order.model }, { "version", std::to_string(order.version) },
            { "token", std::to_string(order.fencingToken) },
            { "orders_before", std::to_string(order.acceptedBefore) } });
    this->call(*target, this->api.orderRequest(order),
        [this, target, order](const http::ResponseHead* head, std::string_view) {
            this->onOrdered(target, order, head ? this->api.readOrderAnswer(*head) : OrderOutcome::Unknown);
        });
}

void WeightsRollout::onOrdered(const directory::TargetPointer& target, const LoadOrder& order, OrderOutcome outcome)
{
    const auto load = this->loads.find(order.targetId);
    if (load == this->loads.end())
        return;
    load->second.isAsking = false;
    switch (outcome) {
    case OrderOutcome::Accepted:
        load->second.checkAt = Clock::now() + loadTime;
        break;
    case OrderOutcome::AlreadyDone:
        target->registration.weights[order.model] = order.version;
        this->loads.erase(load);
        break;
    case OrderOutcome::Fenced:
        this->loseRole("an engine has seen a newer fencing token");
        return;
    case OrderOutcome::Busy:
    case OrderOutcome::Refused:
    case OrderOutcome::Unknown:
        logChange(LogLevel::Warning, "order was not accepted",
            { { "target", order.targetId }, { "version", std::to_string(order.version) },
                { "unknown", outcome == OrderOutcome::Unknown ? "yes" : "no" } });
        load->second.checkAt = Clock::now() + busyPause;
        break;
    }
}

void WeightsRollout::stop(std::function<void()> done)
{
    this->stopping = true;
    this->takeTimer.stop();
    this->stepTimer.stop();
    this->renewTimer.stop();
    const auto held = this->role.current();
    this->role.drop();
    if (!held) {
        done();
        return;
    }
    this->store.endLease(
        held->lease, Clock::now() + callTime, [done = std::move(done)](const store::WriteResult&) { done(); });
}

}

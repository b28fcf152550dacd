#include "daemon/Daemon.h"

#include "daemon/AdminListener.h"

#include <QCoreApplication>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <iostream>

namespace dragonfly::daemon {

namespace {

    constexpr std::chrono::milliseconds gaugeInterval { 500 };
    constexpr std::chrono::milliseconds claimFlushTimeout { 10000 };

    std::string millisecondsText(std::chrono::nanoseconds time)
    {
        return std::to_string(std::chrono::ceil<std::chrono::milliseconds>(time).count());
    }

    QString toQString(const std::string& value)
    {
        return QString::fromStdString(value);
    }

    QString toQString(std::string_view value)
    {
        return QString::fromUtf8(value.data(), static_cast<qsizetype>(value.size()));
    }

    QJsonObject toJson(const entry::AttemptRecord& attempt)
    {
        static constexpr std::string_view reachNames[] = { "same data centre", "same region", "other region" };
        return { { "target", toQString(attempt.target) },
            { "reach", toQString(reachNames[static_cast<size_t>(attempt.reach)]) },
            { "reason", toQString(routing::toString(attempt.reason)) },
            { "candidates", static_cast<int>(attempt.candidates) },
            { "believed_cached_tokens", static_cast<int>(attempt.estimatedCachedTokens) },
            { "expected_first_token_us", static_cast<qint64>(attempt.expectedFirstToken.count()) },
            { "first_token_us", static_cast<qint64>(attempt.firstToken.count()) },
            { "outcome", toQString(attempt.outcome) } };
    }

    QJsonObject toJson(const entry::Explanation& explanation)
    {
        QJsonArray attempts;
        for (const auto& attempt : explanation.attempts)
            attempts.append(toJson(attempt));
        QJsonObject object;
        object["request_id"] = toQString(explanation.requestId);
        object["organisation"] = toQString(explanation.organisation);
        object["route"] = toQString(explanation.route);
        object["config_revision"] = static_cast<qint64>(explanation.configRevision);
        object["started_unix_ms"] = static_cast<qint64>(unixTime(explanation.started).count());
        object["took_us"] = static_cast<qint64>(explanation.took.count());
        object["prompt_tokens"] = static_cast<int>(explanation.promptTokens);
        object["cached_tokens"] = static_cast<int>(explanation.cachedTokens);
        object["completion_tokens"] = static_cast<int>(explanation.completionTokens);
        object["outcome"] = toQString(explanation.outcome);
        object["attempts"] = attempts;
        return object;
    }

}

Daemon::Daemon(const Settings& settings)
    : settings(settings)
    , spans(settings.traceCollector, settings.instance)
    , store(settings.platform, &this->pool)
    , ledger(this->store, settings.claims, settings.claimWritesPerSecond)
    , transport(this->metrics)
    , prefixes(settings.prefixSlots)
    , shared { settings.instance, settings.place, settings.policy, settings.requests, settings.traceSampleRate,
        this->views, this->prefixes, this->preferredHitRate, this->placements, this->retryBudget, this->explanations,
        this->metrics, this->spans, this->ledger,
        [this](const std::string& target) {
            QMetaObject::invokeMethod(
                this, [this, target] { this->applyLeaving(target, true); }, Qt::QueuedConnection);
        },
        {} }
    , startedAt(WallClock::now())
{
}

Daemon::~Daemon()
{
    for (auto& worker : this->workers) {
        worker->quit();
        worker->wait();
    }
}

Status Daemon::start()
{
    const auto bound = this->transport.bind(this->settings.peers);
    if (const auto* error = errorOf(bound))
        return *error;
    const auto peerAddress = this->settings.peersAdvertised.value_or(std::get<Endpoint>(bound)).toString();
    this->keeper = std::make_unique<membership::ConfigKeeper>(peerAddress, this->store, this->transport, this->metrics,
        [this](const config::Publication& publication, const pb::ConfigPart& objects) {
            this->applyConfig(publication, objects);
        });
    std::vector<std::string> seeds;
    for (const auto& seed : this->settings.seeds)
        seeds.push_back(seed.toString());
    this->fleet = std::make_unique<membership::Fleet>(
        membership::Member { this->settings.instance, peerAddress, this->settings.place, Clock::now() }, seeds,
        this->transport, *this->keeper, this->metrics);
    this->sync = std::make_unique<membership::PlatformSync>(this->store, *this->keeper, *this->fleet, this->metrics);
    this->prober = std::make_unique<membership::Prober>(*this->fleet, this->pool, this->metrics,
        [this](const routing::Target& target, const http::Headers& headers) { this->onProbeAnswer(target, headers); });
    this->placementExchange = std::make_unique<membership::PlacementExchange>(
        *this->fleet, this->placements, this->prefixes, this->settings.placementBytesPerSecond);
    this->keeper->onApplied = [this] { this->fleet->gossipNow(); };
    this->sync->onTargetListed
        = [this](const std::string& target, bool leaving) { this->applyLeaving(target, leaving); };
    this->fleet->onTargetUpdate = [this](const std::string& target, const membership::TargetUpdate& news) {
        this->applyTargetNews(target, news);
    };
    for (const auto& step : { &Daemon::startWorkers, &Daemon::startAdmin, &Daemon::startMetrics }) {
        if (auto status = (this->*step)(); errorOf(status))
            return status;
    }
    std::cout << "peers " << peerAddress << std::endl;
    connect(&this->gaugeTimer, &QTimer::timeout, this, &Daemon::updateGauges);
    this->gaugeTimer.start(gaugeInterval);
    this->fleet->start();
    this->sync->start();
    this->prober->start();
    this->placementExchange->start();
    observe::logChange(observe::LogLevel::Info, "serving", { { "listen", this->listenAddress.toString() } });
    std::cout << "ready" << std::endl;
    return Success {};
}

Status Daemon::startWorkers()
{
    auto address = this->settings.listen;
    for (uint64_t i = 0; i < this->settings.threads; ++i) {
        auto worker = std::make_unique<entry::Worker>(this->shared, this->settings.server, address);
        worker->start();
        auto bound = worker->waitUntilListening();
        this->workers.push_back(std::move(worker));
        if (const auto* error = errorOf(bound))
            return *error;
        address = std::get<Endpoint>(bound); // with port 0, all workers share the port that the first one was assigned
    }
    this->listenAddress = address;
    std::cout << "listen " << address.toString() << std::endl;
    return Success {};
}

Status Daemon::startAdmin()
{
    this->admin.route("/ready", [this] {
        const bool ready = this->phase == Phase::Serving && this->view;
        return QHttpServerResponse(ready ? "ready\n" : "not ready\n",
            ready ? QHttpServerResponse::StatusCode::Ok : QHttpServerResponse::StatusCode::ServiceUnavailable);
    });
    this->admin.route("/status", [this] { return QHttpServerResponse("application/json", this->statusJson()); });
    this->admin.route("/explain/<arg>", [this](const QString& requestId) { return this->explain(requestId); });
    const auto& address = this->settings.admin;
    const auto port = AdminListener::start(this->admin, address);
    if (!port)
        return Error { ErrorKind::Internal, "cannot listen on " + address.toString(), Execution::NotRun, {} };
    std::cout << "admin " << Endpoint { address.host, port }.toString() << std::endl;
    return Success {};
}

Status Daemon::startMetrics()
{
    return this->metricsEndpoint.start(this->settings.metrics, this->metrics.registry());
}

void Daemon::applyConfig(const config::Publication& publication, const pb::ConfigPart& objects)
{
    this->view = routing::buildView(
        objects, publication.manifest.revision(), publication.digest(), this->settings.place, this->registry);
    this->views.replace(this->view);
    this->prober->setView(this->view);
    this->placementExchange->setView(this->view);
    this->registry.removeUnused();
}

const routing::Target* Daemon::findTarget(const std::string& name) const
{
    if (!this->view)
        return nullptr;
    for (const auto& target : this->view->targets) {
        if (target.name == name)
            return &target;
    }
    return nullptr;
}

void Daemon::applyLeaving(const std::string& target, bool leaving)
{
    const auto* found = this->findTarget(target);
    if (!found)
        return;
    if (routing::updateLeaving(*found->state, leaving, Clock::now()))
        this->logLeaving(target, leaving, "here");
    this->reportTarget(*found);
}

void Daemon::logLeaving(const std::string& target, bool leaving, const char* source) const
{
    observe::logChange(observe::LogLevel::Info, leaving ? "target is leaving" : "target is no longer leaving",
        { { "target", target }, { "heard", source } });
}

/// Reports the current state of a target to peers. Call it right after an observation of the target.
void Daemon::reportTarget(const routing::Target& target)
{
    const auto& state = *target.state;
    const auto now = Clock::now();
    membership::TargetUpdate news;
    news.leaving = routing::isLeaving(state);
    news.leavingChangedAt = routing::timeOf(state.leavingChangedAt);
    news.incarnation = state.incarnation.load(std::memory_order_relaxed);
    news.weights = state.weights.load(std::memory_order_relaxed);
    news.queuedTokens = routing::queuedTokens(state, now);
    news.observedAt = now;
    this->fleet->report(target.name, news);
}

void Daemon::applyTargetNews(const std::string& target, const membership::TargetUpdate& news)
{
    const auto* found = this->findTarget(target);
    if (!found)
        return;
    auto& state = *found->state;
    routing::updateIncarnation(state, news.incarnation);
    if (news.weights)
        state.weights.store(news.weights, std::memory_order_relaxed);
    if (news.observedAt > routing::timeOf(state.reportedAt) && news.incarnation)
        routing::recordLoad(state, news.queuedTokens, news.observedAt);
    if (routing::updateLeaving(state, news.leaving, news.leavingChangedAt))
        this->logLeaving(target, news.leaving, "from a peer");
}

void Daemon::onProbeAnswer(const routing::Target& target, const http::Headers& headers)
{
    entry::recordAnswerHeaders(this->shared, target, headers);
    this->reportTarget(target);
}

void Daemon::updateGauges()
{
    const auto& counters = this->ledger.counters();
    this->metrics.activeRequests.Set(this->shared.activeRequests.load());
    this->metrics.claimsPending.Set(static_cast<double>(this->ledger.pendingOperations()));
    this->metrics.claimsGranted.Set(static_cast<double>(counters.granted));
    this->metrics.claimWrites.Set(static_cast<double>(counters.writes));
    this->metrics.claimConflicts.Set(static_cast<double>(counters.conflicts));
    this->metrics.claimsUnreachable.Set(static_cast<double>(counters.unreachable));
}

QByteArray Daemon::statusJson() const
{
    QJsonObject status;
    status["instance"] = toQString(this->settings.instance);
    status["data_centre"] = toQString(this->settings.place.dataCentre);
    status["started_unix_ms"] = static_cast<qint64>(unixTime(this->startedAt).count());
    status["phase"] = this->phase == Phase::Serving ? "serving" : "draining";
    status["platform_reachable"] = this->sync->isReachable();
    status["config_revision"] = static_cast<qint64>(this->keeper->revision());
    status["config_in_force_since_unix_ms"] = static_cast<qint64>(unixTime(this->keeper->inForceSince()).count());
    status["config_manifest"] = toQString(toHex(this->keeper->manifestDigest()));
    status["active_requests"] = this->shared.activeRequests.load();
    status["limit_share"] = this->view ? this->view->share.ofFleet : 0.0;
    QJsonArray peers;
    for (const auto& member : this->fleet->liveMembers())
        peers.append(QJsonObject {
            { "instance", toQString(member.instance) }, { "data_centre", toQString(member.place.dataCentre) } });
    status["live_peers"] = peers;
    QJsonArray targets;
    const auto now = Clock::now();
    for (size_t i = 0; this->view && i < this->view->targets.size(); ++i) {
        const auto& target = this->view->targets[i];
        const auto& state = *target.state;
        targets.append(
            QJsonObject { { "name", toQString(target.name) }, { "data_centre", toQString(target.place.dataCentre) },
                { "leaving", routing::isLeaving(state) }, { "avoided", routing::timeOf(state.avoidUntil) > now },
                { "in_flight", static_cast<int>(state.inFlight.load()) },
                { "queued_tokens", static_cast<int>(routing::queuedTokens(state, now)) },
                { "nanoseconds_per_token", static_cast<int>(state.nanosecondsPerToken.load()) } });
    }
    status["targets"] = targets;
    return QJsonDocument(status).toJson(QJsonDocument::Compact);
}

QHttpServerResponse Daemon::explain(const QString& requestId) const
{
    const auto found = this->explanations.find(requestId.toStdString());
    if (!found)
        return QHttpServerResponse(
            "application/json", "{\"error\":\"no such request here\"}", QHttpServerResponse::StatusCode::NotFound);
    return QHttpServerResponse("application/json", QJsonDocument(toJson(*found)).toJson(QJsonDocument::Compact));
}

void Daemon::recordStall(std::chrono::nanoseconds)
{
    this->metrics.eventLoopStalls.Increment();
}

void Daemon::drain(BootClock::time_point lastLook)
{
    if (this->phase != Phase::Serving)
        return;
    this->phase = Phase::DrainAnnounced;
    this->drainSchedule = scheduleDrain(this->settings.drain, lastLook);
    const auto now = BootClock::now();
    observe::logChange(observe::LogLevel::Info, "draining",
        { { "active_requests", std::to_string(this->shared.activeRequests.load()) },
            { "signal_age_max_ms", millisecondsText(now - lastLook) },
            { "closing_in_ms", millisecondsText(this->drainSchedule.closing - now) },
            { "end_in_ms", millisecondsText(this->drainSchedule.end - now) } });
    for (auto& worker : this->workers)
        worker->announceClosing(this->drainSchedule.end);
    this->drainClock = {};
    connect(&this->drainTimer, &QTimer::timeout, this, &Daemon::advanceDrain);
    this->drainTimer.start(drainPollInterval);
}

/// Takes one step at most, so that the event loop runs between two steps that are due together.
void Daemon::advanceDrain()
{
    const auto now = BootClock::now();
    if (!this->drainClock.mayStep(now))
        return;
    // Accepts requests until load balancers have had time to see that /ready reports "not ready".
    if (this->phase == Phase::DrainAnnounced && now >= this->drainSchedule.closing) {
        this->stopAccepting();
    } else if (this->phase == Phase::Completing && now >= this->drainSchedule.end) {
        this->endRequests();
    } else if (this->phase > Phase::DrainAnnounced && (this->isIdle() || now >= this->drainSchedule.exit)) {
        this->flushClaims();
    }
}

void Daemon::reload()
{
    observe::logChange(observe::LogLevel::Warning, "settings cannot be reloaded; they apply after a restart");
}

void Daemon::stopAccepting()
{
    this->phase = Phase::Completing;
    for (auto& worker : this->workers)
        worker->stopAccepting();
}

void Daemon::endRequests()
{
    this->phase = Phase::Flushing;
    for (auto& worker : this->workers)
        worker->endRequests();
}

void Daemon::flushClaims()
{
    this->phase = Phase::Stopping;
    this->drainTimer.stop();
    this->ledger.flush(Clock::now() + claimFlushTimeout, [this] { this->stop(); });
}

bool Daemon::isIdle() const
{
    int open = this->shared.activeRequests.load();
    for (const auto& worker : this->workers)
        open += worker->connectionCount();
    return !open;
}

void Daemon::stop()
{
    observe::logChange(observe::LogLevel::Info, "stopping",
        { { "active_requests", std::to_string(this->shared.activeRequests.load()) },
            { "log_lines_dropped", std::to_string(observe::droppedLogLines()) } });
    this->sync->stop([] { QCoreApplication::quit(); });
}

}

#include "daemon/ForwardingDaemon.h"

#include "daemon/AdminListener.h"

#include <QCoreApplication>
#include <QFileInfo>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QRandomGenerator>
#include <iostream>

namespace dragonfly::daemon {

using observe::logChange;
using observe::LogLevel;

namespace {

    /// Lines about single requests at the end of a drain. A pipe of 64 KiB takes them and the other last lines.
    constexpr size_t maxOpenRequestLines = 64;

    /// How often the settings file is checked for a change that no SIGHUP announced.
    constexpr std::chrono::milliseconds settingsCheckInterval { 5000 };

    /// How often a suspension of the machine is looked for, which delays the deadlines of the steady clock. Shorter
    /// than the margin by which requests are withdrawn before their weights expire.
    constexpr std::chrono::milliseconds suspensionCheckInterval { 250 };
    /// The two clocks are not read at the same moment; the process may lose the processor in between.
    constexpr std::chrono::milliseconds minSuspension { 20 };

    std::string millisecondsText(std::chrono::nanoseconds time)
    {
        return std::to_string(std::chrono::ceil<std::chrono::milliseconds>(time).count());
    }

    QString toQString(const std::string& value)
    {
        return QString::fromStdString(value);
    }

    weights::RolloutSettings rolloutSettings(const Settings& settings)
    {
        const auto& forwarding = settings.forwarding;
        return { settings.instance, forwarding.leaderLease, forwarding.requests.replacedWeightsTtl,
            forwarding.parallelLoads };
    }

    relay::Peer ownPeer(const Settings& settings)
    {
        const auto address = settings.peersAdvertised.value_or(settings.peers);
        return { settings.instance, address.toString(), settings.place, settings.capacity };
    }

    /// Prefix of the product's own keys in the platform's service.
    constexpr const char* ownKeyPrefix = "dragonfly/";

}

ForwardingDaemon::ForwardingDaemon(const Settings& initialSettings)
    : settings(initialSettings)
    , store(settings.platform.front(), &this->storeConnections)
    , directory(settings.forwarding.proofValidity)
    , peers(this->metrics)
    , ranking(ownPeer(this->settings))
    , source(this->store, this->ranking, this->peers, this->metrics)
    , sync(this->source, this->records, this->directory, this->metrics)
    , relay(this->peers, this->source, this->sync, this->directory, this->ranking)
    , registry(this->store, this->ranking, this->metrics)
    , rollout(rolloutSettings(this->settings), this->store, this->engines, this->directory, this->metrics)
    , quarantine(this->settings.instance, this->store, this->metrics)
    , limits(this->metrics)
    , gate(this->limits, this->metrics)
    , origins(this->settings.forwarding.origins, this->store, this->directory, this->metrics)
    , forwarding(this->settings.forwarding.requests, this->directory, this->headers, this->metrics, this->quarantine,
          this->limits, this->gate, this->origins)
    , forwarder(this->forwarding)
    , server(settings.server, [this](const http::ExchangePointer& exchange) { this->forwarder.handle(exchange); })
{
}

Status ForwardingDaemon::start()
{
    logChange(LogLevel::Info, "starting",
        { { "data_centre", this->settings.place.dataCentre },
            { "platform", this->settings.platform.front().toString() },
            { "proof_validity_ms", std::to_string(this->settings.forwarding.proofValidity.count()) } });
    this->directory.lateResumption = this->settings.forwarding.lateResumption;
    this->directory.onRoutesChanged = [this] {
        this->applyRoutes();
        this->rollout.scheduleRollout();
    };
    this->directory.onWeightsChanged = [this] {
        this->forwarder.updateBeginDeadlines();
        this->rollout.scheduleRollout();
    };
    this->directory.onTargetAdded = [this] { this->origins.onTargetsChanged(); };
    this->origins.instanceCount = [this] { return this->ranking.size() + 1; };
    this->origins.recordsAsOf = [this] { return this->sync.changesAsOf(); };
    this->limits.standingOf = [this](const directory::Registration& target) {
        const auto& regions = this->settings.forwarding.requests.regions;
        const auto region = regions.find(target.dataCentre);
        const routing::Place place { region == regions.end() ? "" : region->second, target.dataCentre };
        return this->ranking.standingFor(target.id, place, Clock::now());
    };
    this->rollout.onAnswer = [this](const directory::Registration& engine, const http::ResponseHead& head) {
        forward::applyStatement(this->gate, engine, this->headers.parseAnswer(head), "weights", Clock::now());
    };
    this->rollout.recordsAsOf = [this] { return this->sync.changesAsOf(); };
    this->rollout.isLeaving = [this](const directory::Registration& engine) { return this->gate.isLeaving(engine); };
    this->rollout.mayCall
        = [this](const directory::Registration& engine) { return this->gate.mayCall(engine, Clock::now()); };
    this->sync.followedPrefix = ownKeyPrefix;
    this->sync.onFollowedRecord
        = [this](const store::KeyValue& record, bool exists) { this->onOwnRecord(record, exists); };
    this->source.onServiceFollowed = [this] { this->sync.checkRevisionNow(); };
    this->registry.onAddressReleased = [this](const std::string& address) { this->peers.drop(address); };
    this->sync.onProgress = [this] { this->relay.answerPendingQueries(); };
    this->sync.onWholeRead = [this] { this->onWholeRead(); };
    this->sync.onStoreReturned = [this] { this->onStoreReturned(); };
    this->sync.onFollowedRecordLost = [this](const std::string& key) { this->onOwnRecordLost(key); };
    this->server.onRefusal = [this](const http::Refusal& refusal) {
        const auto& answer = answerFor(refusal.kind);
        this->metrics.failed(refusal.kind).Increment();
        observe::logRequest(observe::RequestOutcome::Refused,
            { { "outcome", std::string(answer.name) }, { "reason", std::string(refusal.reason) },
                { "address", refusal.address }, { "status", std::to_string(answer.status) },
                { "execution", "not-run" } });
    };
    this->server.observer = observe::requestObserver(this->metrics, [this](const http::Request& request) {
        const auto parsed = this->headers.parseRequest(request);
        const auto* metadata = std::get_if<forward::RequestMetadata>(&parsed);
        return metadata ? metadata->requestId : std::string();
    });
    const auto listened = this->server.listenShared(this->settings.listen);
    if (const auto* error = errorOf(listened))
        return *error;
    for (const auto& step : { &ForwardingDaemon::startAdmin, &ForwardingDaemon::startMetrics,
             &ForwardingDaemon::startPeers, &ForwardingDaemon::startTunnels }) {
        if (auto status = (this->*step)(); errorOf(status))
            return status;
    }
    this->settingsModifiedAt = QFileInfo(toQString(this->settings.file)).lastModified();
    connect(&this->settingsTimer, &QTimer::timeout, this, &ForwardingDaemon::reloadIfChanged);
    this->settingsTimer.start(settingsCheckInterval);
    this->observedSuspension = suspendedTime();
    connect(&this->suspensionTimer, &QTimer::timeout, this, &ForwardingDaemon::checkSuspension);
    this->suspensionTimer.start(suspensionCheckInterval);
    this->sync.start();
    this->registry.start();
    const auto listening = std::get<Endpoint>(listened).toString();
    logChange(LogLevel::Info, "serving", { { "listen", listening } });
    std::cout << "listen " << listening << "\nready" << std::endl;
    return Success {};
}

Status ForwardingDaemon::startAdmin()
{
    this->admin.route("/ready", [this] {
        this->updateReadiness();
        return QHttpServerResponse(this->wasReady ? "ready\n" : "not ready\n",
            this->wasReady ? QHttpServerResponse::StatusCode::Ok : QHttpServerResponse::StatusCode::ServiceUnavailable);
    });
    this->admin.route("/status", [this] { return QHttpServerResponse("application/json", this->statusJson()); });
    const auto& address = this->settings.admin;
    const auto port = AdminListener::start(this->admin, address);
    if (!port)
        return Error { ErrorKind::Internal, "cannot listen on " + address.toString(), Execution::NotRun, {} };
    std::cout << "admin " << Endpoint { address.host, port }.toString() << std::endl;
    return Success {};
}

Status ForwardingDaemon::startMetrics()
{
    return this->metricsEndpoint.start(this->settings.metrics, this->metrics.registry());
}

Status ForwardingDaemon::startPeers()
{
    const auto bound = this->peers.bind(this->settings.peers);
    if (const auto* error = errorOf(bound))
        return *error;
    const auto& address = std::get<Endpoint>(bound);
    if (!this->settings.peersAdvertised)
        this->ranking.setOwnAddress(address.toString());
    this->peers.onMessage = [this](const pb::PeerMessage& message) { this->onPeerMessage(message); };
    std::cout << "peers " << address.toString() << std::endl;
    return Success {};
}

Status ForwardingDaemon::startTunnels()
{
    this->forwarding.paths.peers = [this] { return this->ranking.tunnels(QRandomGenerator::global()->generate64()); };
    this->tunnels.mayOpen = [this](const Endpoint& target) {
        if (this->phase != Phase::Serving || this->forwarding.paths.isPartitioned())
            return paths::TunnelAnswer::NoPath;
        return this->forwarder.isTargetAt(target) ? paths::TunnelAnswer::Open : paths::TunnelAnswer::NoTarget;
    };
    const auto bound = this->tunnels.listenOn(this->settings.tunnels);
    if (const auto* error = errorOf(bound))
        return *error;
    this->ranking.setOwnTunnels(std::get<Endpoint>(bound).toString());
    return Success {};
}

void ForwardingDaemon::onPeerMessage(const pb::PeerMessage& message)
{
    if (message.has_follow_records())
        this->relay.onQuery(message.reply_to(), message.follow_records());
    else if (message.has_records_reply())
        this->source.onReply(message.records_reply());
    else
        this->metrics.peerMessagesRefused.Increment();
}

void ForwardingDaemon::onOwnRecord(const store::KeyValue& record, bool exists)
{
    if (record.key.starts_with(relay::InstanceRegistry::keyPrefix))
        this->registry.onRecord(record, exists);
    else if (!this->quarantine.applyRecord(record, exists) && !this->origins.applyRecord(record, exists))
        this->rollout.applyRecord(record, exists);
}

void ForwardingDaemon::onStoreReturned()
{
    this->isStoreReturned = true;
    this->registry.onStoreReturned();
    this->rollout.onStoreReturned();
    this->quarantine.onStoreReturned();
    this->origins.onStoreReturned();
}

void ForwardingDaemon::onOwnRecordLost(const std::string& key)
{
    if (!this->quarantine.onRecordLost(key) && !this->origins.onRecordLost(key))
        this->onOwnRecord({ key, {}, 0 }, false);
}

void ForwardingDaemon::onWholeRead()
{
    this->rollout.applyLeaderKeyState(this->sync.hasFollowedRecord(weights::WeightsRollout::leaderKey));
    if (std::exchange(this->isStoreReturned, false))
        this->quarantine.publishMissing([this](const std::string& key) { return this->sync.hasFollowedRecord(key); });
    this->quarantine.update();
    this->origins.onWholeRead();
}

void ForwardingDaemon::applyRoutes()
{
    const auto& limits = this->directory.routes()->limits();
    auto serverLimits = this->settings.server;
    serverLimits.headerBytes = limits.headerBytes;
    serverLimits.bodyBytes = limits.bodyBytes;
    serverLimits.headerTimeout = limits.headerTimeout;
    serverLimits.idleTimeout = limits.idleTimeout;
    this->server.setLimits(serverLimits);
}

/// Not ready while the proof of freshness is missing and callers' keys are needed, so that load balancers choose
/// other instances.
bool ForwardingDaemon::isReady() const
{
    const auto& routes = this->directory.routes();
    if (this->phase != Phase::Serving || !routes)
        return false;
    return !routes->needsKeys() || this->directory.freshness.isProved(BootClock::now());
}

void ForwardingDaemon::updateReadiness()
{
    const bool ready = this->isReady();
    if (ready == this->wasReady)
        return;
    this->wasReady = ready;
    const auto age = this->directory.freshness.age(BootClock::now());
    logChange(LogLevel::Info, ready ? "ready" : "not ready",
        { { "configured", this->directory.routes() ? "yes" : "no" },
            { "config_age_ms", age ? std::to_string(age->count()) : "unproved" },
            { "draining", this->phase == Phase::Serving ? "no" : "yes" } });
}

QByteArray ForwardingDaemon::statusJson() const
{
    const auto now = Clock::now();
    const auto age = this->directory.freshness.age(BootClock::now());
    QJsonObject status;
    status["instance"] = toQString(this->settings.instance);
    status["data_centre"] = toQString(this->settings.place.dataCentre);
    status["phase"] = this->phase == Phase::Serving ? "serving" : "draining";
    status["records_from"] = toQString(this->source.followedInstance().value_or("platform"));
    status["known_instances"] = static_cast<qint64>(this->ranking.size());
    status["platform_reachable"] = this->sync.isReachable();
    status["platform_era"] = static_cast<qint64>(this->sync.storeEra());
    const auto& routes = this->directory.routes();
    status["config_version"] = routes ? static_cast<qint64>(routes->version()) : 0;
    status["config_age_ms"] = age ? static_cast<qint64>(age->count()) : -1;
    status["active_requests"] = this->forwarding.activeRequests;
    QJsonArray targets;
    for (const auto& [id, target] : this->directory.targets())
        targets.append(QJsonObject { { "id", toQString(id) }, { "service", toQString(target->registration.service) },
            { "data_centre", toQString(target->registration.dataCentre) },
            { "routed", this->directory.isRouted(target->registration) },
            { "draining", target->registration.isDraining }, { "leaving", this->gate.isLeaving(target->registration) },
            { "usable", target->isUsable(now) }, { "in_flight", static_cast<int>(target->state->inFlight.load()) } });
    status["targets"] = targets;
    return QJsonDocument(status).toJson(QJsonDocument::Compact);
}

void ForwardingDaemon::checkSuspension()
{
    const auto suspension = suspendedTime() - this->observedSuspension;
    if (suspension < minSuspension)
        return;
    this->observedSuspension += suspension;
    const auto duration = std::chrono::duration_cast<std::chrono::milliseconds>(suspension);
    logChange(LogLevel::Warning, "machine was suspended", { { "duration_ms", std::to_string(duration.count()) } });
    this->forwarder.updateBeginDeadlines();
}

void ForwardingDaemon::reloadIfChanged()
{
    if (QFileInfo(toQString(this->settings.file)).lastModified() != this->settingsModifiedAt)
        this->reload();
}

void ForwardingDaemon::reload()
{
    this->settingsModifiedAt = QFileInfo(toQString(this->settings.file)).lastModified();
    const auto loaded = loadSettings(this->settings.file);
    if (!loaded.problems.empty()) {
        logChange(LogLevel::Error, "changed settings refused; the previous settings stay in force",
            { { "problem", toString(loaded.problems.front()) },
                { "problems", std::to_string(loaded.problems.size()) } });
        return;
    }
    const auto& next = loaded.settings;
    this->settings.drain = next.drain;
    this->settings.forwarding.requests.replacedWeightsTtl = next.forwarding.requests.replacedWeightsTtl;
    this->settings.forwarding.requests.policy = next.forwarding.requests.policy;
    const bool addressesChanged = next.listen != this->settings.listen || next.platform != this->settings.platform;
    logChange(LogLevel::Info, "settings reloaded",
        { { "weights_time_ms", std::to_string(next.forwarding.requests.replacedWeightsTtl.count()) },
            { "addresses", addressesChanged ? "changed; they apply after a restart" : "unchanged" } });
}

void ForwardingDaemon::recordStall(std::chrono::nanoseconds)
{
    this->metrics.eventLoopStalls.Increment();
}

void ForwardingDaemon::drain(BootClock::time_point lastLook)
{
    if (this->phase != Phase::Serving)
        return;
    this->reloadIfChanged();
    this->phase = Phase::DrainAnnounced;
    this->drainSchedule = scheduleDrain(this->settings.drain, lastLook);
    const auto now = BootClock::now();
    logChange(LogLevel::Info, "draining",
        { { "active_requests", std::to_string(this->forwarding.activeRequests) },
            { "connections", std::to_string(this->server.connectionCount()) },
            { "signal_age_max_ms", millisecondsText(now - lastLook) },
            { "closing_in_ms", millisecondsText(this->drainSchedule.closing - now) },
            { "end_in_ms", millisecondsText(this->drainSchedule.end - now) } });
    this->forwarding.stop = { lastLook, this->drainSchedule.end };
    this->server.announceClosing();
    this->rollout.stop([] {});
    this->registry.stop();
    this->source.leave();
    this->drainClock = {};
    connect(&this->drainTimer, &QTimer::timeout, this, &ForwardingDaemon::advanceDrain);
    this->drainTimer.start(drainPollInterval);
}

/// Takes one step at most, so that the event loop runs between two steps that are due together.
void ForwardingDaemon::advanceDrain()
{
    const auto now = BootClock::now();
    if (!this->drainClock.mayStep(now))
        return;
    // Accepts requests until load balancers have had time to see that /ready reports "not ready".
    if (this->phase == Phase::DrainAnnounced && now >= this->drainSchedule.closing)
        this->stopAccepting();
    else if (this->phase == Phase::Completing && now >= this->drainSchedule.end)
        this->endRequests();
    else if (this->phase > Phase::DrainAnnounced && (this->isIdle() || now >= this->drainSchedule.exit))
        this->stop();
}

void ForwardingDaemon::stopAccepting()
{
    this->phase = Phase::Completing;
    this->server.close();
    this->server.drainConnections();
}

void ForwardingDaemon::endRequests()
{
    this->phase = Phase::Flushing;
    this->logOpenRequests();
    this->forwarder.endForStop();
}

bool ForwardingDaemon::isIdle() const
{
    return !this->forwarding.activeRequests && !this->server.connectionCount()
        && !this->tunnels.isAnyBusy(Clock::now());
}

void ForwardingDaemon::logOpenRequests() const
{
    const auto open = this->forwarder.openRequests();
    const auto now = Clock::now();
    for (size_t i = 0; i < std::min(open.size(), maxOpenRequestLines); ++i) {
        const auto& request = open[i];
        const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(now - request.waitingSince);
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - request.arrived);
        logChange(LogLevel::Warning, "request open at the end of the drain",
            { { "request", request.id }, { "target", request.target }, { "backup", request.backupTarget },
                { "waits_for", std::string(toString(request.waitsFor)) },
                { "waited_ms", std::to_string(waited.count()) }, { "age_ms", std::to_string(age.count()) },
                { "left_ms", std::to_string(remaining(request.deadline, now).count()) } });
    }
    if (open.size() > maxOpenRequestLines)
        logChange(LogLevel::Warning, "more requests open at the end of the drain",
            { { "count", std::to_string(open.size() - maxOpenRequestLines) } });
}

void ForwardingDaemon::stop()
{
    logChange(LogLevel::Info, "stopping",
        { { "active_requests", std::to_string(this->forwarding.activeRequests) },
            { "connections", std::to_string(this->server.connectionCount()) },
            { "log_lines_dropped", std::to_string(observe::droppedLogLines()) } });
    QCoreApplication::quit();
}

}

#pragma once
// An entry instance: owns the worker threads and the control thread's objects, and drains requests before it stops.

#include "daemon/DrainClock.h"
#include "daemon/MetricsEndpoint.h"
#include "daemon/Settings.h"
#include "entry/Worker.h"
#include "membership/Membership.h"
#include "store/Store.h"

#include <QHttpServer>
#include <QObject>
#include <memory>

namespace dragonfly::daemon {

/// Belongs to the main thread, which is the control thread and handles no requests.
class Daemon : public QObject {
    Q_OBJECT
public:
    explicit Daemon(const Settings& settings);
    ~Daemon() override;

    /// Binds every socket, prints the bound addresses to standard output and starts the workers.
    Status start();
    /// Lets open requests complete, then quits the application. All times count from @p lastLook, the last moment at
    /// which SIGTERM had not come.
    void drain(BootClock::time_point lastLook);
    void recordStall(std::chrono::nanoseconds gap);
    /// Only logs that settings cannot be reloaded while the process runs.
    void reload();

private:
    enum class Phase {
        Serving,
        DrainAnnounced, ///< reports that it is not ready, but still accepts requests
        Completing, ///< accepts no requests; open ones complete
        Flushing, ///< every request has a final answer, which may still be on its way
        Stopping,
    };

    Status startWorkers();
    Status startAdmin();
    Status startMetrics();
    void applyConfig(const config::Publication& publication, const pb::ConfigPart& objects);
    void applyTargetNews(const std::string& target, const membership::TargetUpdate& news);
    void applyLeaving(const std::string& target, bool leaving);
    void logLeaving(const std::string& target, bool leaving, const char* source) const;
    void reportTarget(const routing::Target& target);
    void onProbeAnswer(const routing::Target& target, const http::Headers& headers);
    const routing::Target* findTarget(const std::string& name) const;
    void updateGauges();
    void advanceDrain();
    void stopAccepting();
    void endRequests();
    void flushClaims();
    bool isIdle() const;
    void stop();
    QByteArray statusJson() const;
    QHttpServerResponse explain(const QString& requestId) const;

    Settings settings;
    observe::Metrics metrics;
    MetricsEndpoint metricsEndpoint;
    observe::SpanExporter spans;
    http::ClientPool pool;
    store::GatewayStore store;
    claims::ClaimLedger ledger;
    membership::ZmqTransport transport;
    std::unique_ptr<membership::ConfigKeeper> keeper;
    std::unique_ptr<membership::Fleet> fleet;
    std::unique_ptr<membership::PlatformSync> sync;
    std::unique_ptr<membership::Prober> prober;
    std::unique_ptr<membership::PlacementExchange> placementExchange;

    entry::RcuReaderRegistration reader;
    entry::ViewHolder views;
    routing::StateRegistry registry;
    routing::ViewPointer view; ///< the view in force, as the control thread uses it
    routing::PrefixIndex prefixes;
    routing::PreferredHitRate preferredHitRate;
    routing::PlacementQueue placements;
    entry::RetryBudget retryBudget;
    entry::ExplainLog explanations;
    entry::Context shared;
    std::vector<std::unique_ptr<entry::Worker>> workers;
    Endpoint listenAddress;
    QHttpServer admin;
    QTimer gaugeTimer;
    Phase phase = Phase::Serving;
    DrainSchedule drainSchedule; ///< set when the phase is no longer Serving
    DrainClock drainClock;
    QTimer drainTimer;
    WallClock::time_point startedAt;
};

}

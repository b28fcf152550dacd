#pragma once
// One entry instance: its workers, its control thread, and its orderly end.

#include "daemon/MetricsEndpoint.h"
#include "daemon/Settings.h"
#include "entry/Worker.h"
#include "membership/Membership.h"
#include "store/Store.h"

#include <QHttpServer>
#include <QObject>
#include <memory>

namespace dragonfly::daemon {

/// Lives in the main thread, which is the control thread: nothing here is on the path of a request.
class Daemon : public QObject {
    Q_OBJECT
public:
    explicit Daemon(const Settings& settings);
    ~Daemon() override;

    /// Opens every socket and prints the addresses on standard output.
    Status start();
    /// Ends without cutting a request, then quits the application.
    void drain();
    /// Says that settings are read at the start only.
    void reload();

private:
    enum class Phase { Serving, Noticed, Finishing };

    Status startWorkers();
    Status startAdmin();
    Status startMetrics();
    void applyConfig(const config::Publication& publication, const pb::ConfigPart& objects);
    void noteTargetNews(const std::string& target, const membership::TargetNews& news);
    void noteLeaving(const std::string& target, bool leaving);
    void logLeaving(const std::string& target, bool leaving, const char* source) const;
    void reportTarget(const routing::Target& target);
    void reportProbe(const routing::Target& target, const http::Headers& headers);
    const routing::Target* findTarget(const std::string& name) const;
    void updateGauges();
    void finishRequests();
    void waitForRequests(Deadline deadline);
    bool isIdle() const;
    void leave();
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
    routing::ViewPointer view; ///< the one in force, for the control thread
    routing::PrefixIndex prefixes;
    routing::PreferredHitRate homeTrust;
    routing::PlacementQueue placements;
    entry::RetryBudget retries;
    entry::ExplainLog explanations;
    entry::Context shared;
    std::vector<std::unique_ptr<entry::Worker>> workers;
    Endpoint listening;
    QHttpServer admin;
    QTimer gaugeTimer;
    Phase phase = Phase::Serving;
    WallClock::time_point startedAt;
};

}

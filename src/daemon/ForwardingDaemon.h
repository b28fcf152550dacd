#pragma once
// An entry instance that forwards requests unchanged, on a platform that registers the targets.
//
// Everything runs in one event loop: these instances have a fraction of one core, so a second thread would only
// add context switches.

#include "backoff/Backoff.h"
#include "daemon/DrainClock.h"
#include "daemon/MetricsEndpoint.h"
#include "daemon/Settings.h"
#include "directory/DirectorySync.h"
#include "forward/Forward.h"
#include "membership/ZmqTransport.h"
#include "paths/TunnelServer.h"
#include "platform/Platform.h"
#include "quarantine/Quarantine.h"
#include "relay/Relay.h"
#include "weights/Weights.h"

#include <QDateTime>
#include <QHttpServer>
#include <QObject>
#include <memory>

namespace dragonfly::daemon {

class ForwardingDaemon : public QObject {
    Q_OBJECT
public:
    explicit ForwardingDaemon(const Settings& initialSettings);

    /// Binds every socket and prints the bound addresses to standard output.
    Status start();
    /// Lets open requests complete, then quits the application. All times count from @p lastLook, the last moment at
    /// which SIGTERM had not come.
    void drain(BootClock::time_point lastLook);
    void recordStall(std::chrono::nanoseconds gap);
    /// Reads the settings file again and applies the settings that may change at run time. An invalid file changes
    /// nothing.
    void reload();

private:
    enum class Phase {
        Serving,
        DrainAnnounced, ///< reports that it is not ready, but still accepts requests
        Completing, ///< accepts no requests; open ones complete
        Flushing, ///< every request has its final answer; the last ones are written to the callers
    };

    Status startAdmin();
    Status startMetrics();
    Status startPeers();
    Status startTunnels();
    void onPeerMessage(const pb::PeerMessage& message);
    void onOwnRecord(const store::KeyValue& record, bool exists);
    void onStoreReturned();
    void onOwnRecordLost(const std::string& key);
    void onWholeRead();
    void applyRoutes();
    bool isReady() const;
    void updateReadiness();
    QByteArray statusJson() const;
    void advanceDrain();
    void stopAccepting();
    bool isIdle() const;
    void endRequests();
    void logOpenRequests() const;
    void stop();
    void reloadIfChanged();
    void checkSuspension();

    Settings settings;
    observe::Metrics metrics;
    MetricsEndpoint metricsEndpoint;
    http::ClientPool storeConnections;
    platform::StoreClient store;
    platform::RecordCodec records;
    platform::HeaderCodec headers;
    platform::EngineCodec engines;
    directory::Directory directory;
    membership::ZmqTransport peers;
    relay::PeerRanking ranking;
    relay::RelayedSource source;
    directory::DirectorySync sync;
    relay::RecordRelay relay;
    relay::InstanceRegistry registry;
    weights::WeightsRollout rollout;
    quarantine::PromptQuarantine quarantine;
    limits::RequestLimits limits;
    backoff::SendGate gate;
    streams::StreamOrigins origins;
    forward::ForwardContext forwarding;
    forward::Forwarder forwarder;
    paths::TunnelServer tunnels;
    http::Server server;
    QHttpServer admin;
    QTimer settingsTimer;
    QTimer suspensionTimer;
    std::chrono::nanoseconds observedSuspension { 0 }; ///< suspendedTime() when the deadlines were last updated
    QDateTime settingsModifiedAt; ///< modification time of the settings file when it was last read
    bool isStoreReturned = false; ///< since the last whole read
    Phase phase = Phase::Serving;
    DrainSchedule drainSchedule; ///< set when the phase is no longer Serving
    DrainClock drainClock;
    QTimer drainTimer;
    bool wasReady = false;
};

}

#pragma once
// One entry instance that forwards requests as they came, on a platform that registers its targets.
//
// Everything runs in one event loop: these instances have a fraction of one core, and a second thread would
// only add switches between the two.

#include "daemon/MetricsEndpoint.h"
#include "daemon/Settings.h"
#include "directory/DirectorySync.h"
#include "forward/Forward.h"
#include "membership/ZmqTransport.h"
#include "platform/Platform.h"
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
    explicit ForwardingDaemon(const Settings& settings);

    /// Opens every socket and prints the addresses on standard output.
    Status start();
    /// Ends without cutting a request, then quits the application.
    void drain();
    /// Reads the settings file again and applies what may change while requests are under way. A file with
    /// mistakes changes nothing.
    void reload();

private:
    enum class Phase { Serving, Noticed, Finishing };

    Status startAdmin();
    Status startMetrics();
    Status startPeers();
    void onPeerMessage(const pb::PeerMessage& message);
    void onOwnRecord(const store::KeyValue& record, bool exists);
    void applyRoutes();
    bool isReady() const;
    void noteReadiness();
    QByteArray statusJson() const;
    void finishRequests();
    void waitForRequests(Deadline deadline);
    void leave();
    void reloadIfChanged();

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
    forward::ForwardContext forwarding;
    forward::Forwarder forwarder;
    http::Server server;
    QHttpServer admin;
    QTimer settingsTimer;
    QDateTime settingsChangedAt; ///< time of the file that is in force
    Phase phase = Phase::Serving;
    bool wasReady = false;
};

}

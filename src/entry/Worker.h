#pragma once
// One thread of the request path: its own listening socket, its own connections to targets.

#include "entry/Request.h"

#include <QThread>
#include <future>

namespace dragonfly::entry {

class Worker : public QThread {
    Q_OBJECT
public:
    Worker(Context& shared, const http::ServerLimits& limits, const Endpoint& listen);

    /// Waits until the thread listens, or has failed to.
    Result<Endpoint> waitUntilListening();
    /// Still takes requests, but asks callers to connect elsewhere for their next one.
    void announceClosing();
    /// Closes the listening socket and idle connections; requests under way go on.
    void stopAccepting();
    /// Connections that are open still, with the answers that wait in them.
    int connectionCount() const;

protected:
    void run() override;

private:
    void handle(WorkerScope& scope, const http::ExchangePointer& exchange);
    void handleModels(const Request& request);
    void route(WorkerScope& scope, Request request);
    void routeInference(WorkerScope& scope, Request request);
    Result<Success> authenticate(Request& request) const;
    /// Finds the deadline and admits the request; answers it itself when it is refused.
    bool prepare(Request& request);

    Context& shared;
    http::ServerLimits limits;
    Endpoint listenAt;
    std::promise<Result<Endpoint>> listening;
    QObject* control = nullptr; ///< in the worker's thread, while it runs
    http::Server* server = nullptr;
};

}

#pragma once
// One thread of the request path, with its own listening socket and its own connections to targets.

#include "entry/Request.h"

#include <QThread>
#include <future>

namespace dragonfly::entry {

class Worker : public QThread {
    Q_OBJECT
public:
    Worker(Context& shared, const http::ServerLimits& limits, const Endpoint& listen);

    /// Blocks until the thread listens and returns its endpoint, or the error.
    Result<Endpoint> waitUntilListening();
    /// Still accepts requests, but sends "Connection: close", so that callers connect elsewhere for the next one.
    /// @param stopAt when endRequests() will be called; later deadlines of further requests end then
    void announceClosing(BootClock::time_point stopAt);
    /// Closes the listening socket and idle connections; requests in progress continue.
    void stopAccepting();
    /// Gives all open requests a final answer, and refuses those that arrive later.
    void endRequests();
    /// Number of open connections, including those with answers that are still being sent.
    int connectionCount() const;

protected:
    void run() override;

private:
    void handle(WorkerScope& scope, const http::ExchangePointer& exchange);
    void handleModels(const Request& request);
    void route(WorkerScope& scope, Request request);
    void routeInference(WorkerScope& scope, Request request);
    Result<Success> authenticate(Request& request) const;
    /// Sets the deadline and applies the organisation's limits and those of a planned stop. When the request is
    /// refused, responds with the error and returns false.
    bool prepare(const WorkerScope& scope, Request& request);

    Context& shared;
    http::ServerLimits limits;
    Endpoint listenEndpoint;
    std::promise<Result<Endpoint>> listenResult;
    QObject* loop = nullptr; ///< context object in the worker's thread; valid while the thread runs
    http::Server* server = nullptr;
    WorkerScope* scope = nullptr; ///< of the worker's thread, like loop
};

}

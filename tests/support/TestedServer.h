#pragma once
// A server in the test's own event loop, so that a busy loop is a loop that is not run.

#include "http/Http.h"
#include "tests/support/RawCaller.h"
#include "tests/support/Site.h"

namespace testing {

inline constexpr auto patience = std::chrono::seconds(5); ///< for what an event loop does at once

inline std::string get(const std::string& path, const std::string& fields = "")
{
    return "GET " + path + " HTTP/1.1\r\nHost: x\r\n" + fields + "\r\n";
}

/// A server that answers "/now" at once and leaves the other requests to the test.
class TestedServer {
public:
    explicit TestedServer(const dragonfly::http::ServerLimits& limits = {})
        : server(limits, [this](const dragonfly::http::ExchangePointer& exchange) { this->handle(exchange); })
    {
        const auto listened = this->server.listenShared({ "127.0.0.1", 0 });
        require(!dragonfly::errorOf(listened), "cannot listen");
        this->endpoint = std::get<dragonfly::Endpoint>(listened);
    }

    /// A caller that has received the answer to one request on a connection that is kept.
    std::unique_ptr<RawCaller> connectKept()
    {
        auto caller = std::make_unique<RawCaller>(this->endpoint);
        caller->send(get("/now"));
        require(caller->receiveUntil("answer to /now"), "no answer");
        caller->received.clear();
        return caller;
    }
    /// What a process does at the end of its drain notice, before the event loop reads what has arrived.
    void drain()
    {
        const auto endNotice = [this] {
            this->server.announceClosing();
            this->server.close();
            this->server.drainConnections();
        };
        // Connections that are deleted later are deleted only if an event requested it.
        QMetaObject::invokeMethod(&this->server, endNotice, Qt::QueuedConnection);
        QCoreApplication::sendPostedEvents(&this->server);
    }
    bool waitForRequest()
    {
        return waitUntil([&] { return !this->held.empty(); }, patience);
    }
    bool waitUntilClosed(std::chrono::milliseconds timeout)
    {
        return waitUntil([&] { return !this->server.connectionCount(); }, timeout);
    }

private:
    const Application application;

public:
    dragonfly::http::Server server;
    dragonfly::Endpoint endpoint;
    std::vector<dragonfly::http::ExchangePointer> held; ///< requests that wait for their answers
    int requests = 0;

private:
    void handle(const dragonfly::http::ExchangePointer& exchange)
    {
        ++this->requests;
        if (exchange->request().target == "/now")
            exchange->respond(200, {}, "answer to /now");
        else
            this->held.push_back(exchange);
    }
};

}

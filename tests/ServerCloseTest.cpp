// The server ends connections in order: what a caller has sent whole is answered, and what was answered arrives.
//
// The server runs in the test's own event loop, so that a busy loop is a loop that is not run. The callers use blocking
// system calls.

#include "http/Http.h"
#include "tests/support/ForwardSite.h"
#include "tests/support/RawCaller.h"

#include <QThread>
#include <atomic>
#include <criterion/criterion.h>
#include <thread>

using namespace testing;
using namespace dragonfly;
using namespace std::chrono_literals;

namespace {

constexpr auto patience = 5s; ///< for what an event loop does at once

std::string get(const std::string& path, const std::string& fields = "")
{
    return "GET " + path + " HTTP/1.1\r\nHost: x\r\n" + fields + "\r\n";
}

/// A server that answers "/now" at once and leaves the other requests to the test.
class TestedServer {
public:
    explicit TestedServer(const http::ServerLimits& limits = {})
        : server(limits, [this](const http::ExchangePointer& exchange) { this->handle(exchange); })
    {
        const auto listened = this->server.listenShared({ "127.0.0.1", 0 });
        require(!errorOf(listened), "cannot listen");
        this->endpoint = std::get<Endpoint>(listened);
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
    http::Server server;
    Endpoint endpoint;
    std::vector<http::ExchangePointer> held; ///< requests that wait for their answers
    int requests = 0;

private:
    void handle(const http::ExchangePointer& exchange)
    {
        ++this->requests;
        if (exchange->request().target == "/now")
            exchange->respond(200, {}, "answer to /now");
        else
            this->held.push_back(exchange);
    }
};

std::string eventOf(int number, size_t padding)
{
    return "id: " + std::to_string(number) + "\ndata: " + std::string(padding, 'x') + "\n\n";
}

/// The bytes of the chunks in @p received, which begins with a head.
std::string chunksOf(const std::string& received)
{
    std::string body;
    auto at = received.find("\r\n\r\n");
    at = at == std::string::npos ? received.size() : at + 4;
    while (at < received.size()) {
        const auto lineEnd = received.find("\r\n", at);
        if (lineEnd == std::string::npos)
            break;
        const auto size = std::stoul(received.substr(at, lineEnd - at), nullptr, 16);
        body += received.substr(lineEnd + 2, size);
        at = lineEnd + 2 + size + 2;
    }
    return body;
}

/// Request of an idempotent route of ForwardSite.
std::string siteRequest(const std::string& id)
{
    return "POST /read/x HTTP/1.1\r\nHost: site.example\r\nX-Dragonflyarch-Attempt-Id: " + id
        + "\r\nX-Dragonflyarch-Deadline-Ms: 3000\r\nAuthorization: Bearer " + forwardKey
        + "\r\nContent-Length: 4\r\n\r\nbody";
}

}

Test(serverClose, requestThatWaitsUnreadIsAnsweredWhenTheDrainClosesIdleConnections, .timeout = 30)
{
    TestedServer tested;
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int i = 0; i < 6; ++i)
        callers.push_back(tested.connectKept());
    for (const auto& caller : callers)
        cr_assert(caller->send(get("/now")));
    tested.drain();
    int answers = 0;
    for (const auto& caller : callers) {
        cr_assert(caller->receiveToEnd());
        answers += caller->answers();
        cr_expect_not(caller->wasReset);
    }
    cr_assert_eq(answers, 6, "%d of 6 answered", answers);
    callers.clear();
    cr_assert(tested.waitUntilClosed(patience));
}

Test(serverClose, requestThatWaitsUnreadIsAnsweredWhenTheIdleTimeEnds, .timeout = 30)
{
    http::ServerLimits limits;
    limits.idleTimeout = 200ms;
    TestedServer tested(limits);
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int i = 0; i < 6; ++i)
        callers.push_back(tested.connectKept());
    QThread::msleep(150);
    for (const auto& caller : callers)
        cr_assert(caller->send(get("/now")));
    QThread::msleep(150);
    int answers = 0;
    for (const auto& caller : callers) {
        cr_assert(caller->receiveToEnd());
        answers += caller->answers();
        cr_expect_not(caller->wasReset);
    }
    cr_assert_eq(answers, 6, "%d of 6 answered", answers);
}

Test(serverClose, requestThatCrossesAnIdleCloseIsNotReadAndDiscarded, .timeout = 30)
{
    constexpr auto lossSlack = 200ms; // within which the caller must learn that its request gets no answer
    http::ServerLimits limits;
    limits.idleTimeout = 200ms;
    TestedServer tested(limits);
    const auto timedOut = tested.connectKept();
    cr_assert(timedOut->receiveToEnd());
    cr_assert(timedOut->send(get("/now")));
    cr_expect(waitUntil([&] { return timedOut->isReset(); }, lossSlack), "discarded in silence after the idle time");

    tested.server.setLimits({});
    const auto drained = tested.connectKept();
    runFor(50ms);
    tested.drain();
    cr_assert(drained->receiveToEnd());
    cr_assert(drained->send(get("/now")));
    cr_expect(waitUntil([&] { return drained->isReset(); }, lossSlack), "discarded in silence in the drain");
    cr_assert_eq(tested.requests, 2);
}

namespace {

/// Receives an answer of @p bytes that ends with "end" slowly, and sends a request as soon as it has arrived whole.
void receiveThenSend(RawCaller& caller, size_t bytes)
{
    const auto readSome = [&] {
        caller.receive(8 << 10);
        return caller.ended || (caller.received.size() > bytes && caller.received.find("end") != std::string::npos);
    };
    cr_assert(waitUntil(readSome, 20s));
    caller.received.clear();
    caller.send(get("/now"));
}

/// Whether the caller gets an answer to the request that it has sent last, or learns that it was not read.
bool isAnsweredOrReset(RawCaller& caller)
{
    constexpr auto lossSlack = 200ms;
    return waitUntil(
        [&] {
            caller.receive();
            return caller.received.find("answer to /now") != std::string::npos || caller.isReset();
        },
        lossSlack);
}

}

Test(serverClose, requestAfterASlowlyReceivedAnswerIsNotDiscardedWhenTheIdleTimeHasEnded, .timeout = 60)
{
    constexpr size_t answerBytes = 4 << 20;
    http::ServerLimits limits;
    limits.idleTimeout = 200ms;
    TestedServer tested(limits);
    RawCaller caller(tested.endpoint, 4 << 10);
    caller.send(get("/held"));
    cr_assert(tested.waitForRequest());
    tested.held[0]->respond(200, {}, std::string(answerBytes, 'x') + "end");
    runFor(500ms);
    receiveThenSend(caller, answerBytes);
    cr_assert(isAnsweredOrReset(caller), "discarded in silence");
}

Test(serverClose, requestAfterAKeptStreamIsNotDiscardedInTheDrain, .timeout = 60)
{
    constexpr size_t answerBytes = 4 << 20;
    TestedServer tested;
    RawCaller caller(tested.endpoint, 4 << 10);
    caller.send(get("/stream"));
    cr_assert(tested.waitForRequest());
    tested.held[0]->beginStream(200, {});
    tested.drain();
    tested.held[0]->write(std::string(answerBytes, 'x') + "end");
    tested.held[0]->finish();
    runFor(200ms);
    receiveThenSend(caller, answerBytes);
    cr_assert(isAnsweredOrReset(caller), "discarded in silence");
}

Test(serverClose, requestAfterAKeptStreamIsNotDiscardedWhenConnectionsMayNoLongerBeIdle, .timeout = 60)
{
    constexpr size_t answerBytes = 4 << 20;
    TestedServer tested;
    RawCaller caller(tested.endpoint, 4 << 10);
    caller.send(get("/stream"));
    cr_assert(tested.waitForRequest());
    tested.held[0]->beginStream(200, {});
    http::ServerLimits limits;
    limits.idleTimeout = 0ms;
    tested.server.setLimits(limits);
    tested.held[0]->write(std::string(answerBytes, 'x') + "end");
    tested.held[0]->finish();
    runFor(200ms);
    receiveThenSend(caller, answerBytes);
    cr_assert(isAnsweredOrReset(caller), "discarded in silence");
}

Test(serverClose, connectionThatIsIdleWhenTheIdleTimeGrowsIsKeptForTheLongerTime, .timeout = 30)
{
    http::ServerLimits limits;
    limits.idleTimeout = 400ms;
    TestedServer tested(limits);
    const auto caller = tested.connectKept();
    runFor(100ms);
    limits.idleTimeout = 2s;
    tested.server.setLimits(limits);
    runFor(1200ms);
    cr_assert(caller->send(get("/now")));
    cr_assert(caller->receiveUntil("answer to /now"), "closed after the shorter time");
}

Test(serverClose, connectionThatIsIdleWhenTheIdleTimeShrinksIsKeptForTheLongerTime, .timeout = 30)
{
    http::ServerLimits limits;
    limits.idleTimeout = 2s;
    TestedServer tested(limits);
    const auto caller = tested.connectKept();
    runFor(100ms);
    for (const auto shorter : { 200ms, 0ms }) {
        limits.idleTimeout = shorter;
        tested.server.setLimits(limits);
    }
    runFor(1200ms);
    cr_assert(caller->send(get("/now")));
    cr_assert(caller->receiveUntil("answer to /now"), "closed after the shorter time");
}

Test(serverClose, answerSaysThatTheConnectionClosesIfItMayNotBeIdle, .timeout = 30)
{
    http::ServerLimits limits;
    limits.idleTimeout = 0ms;
    TestedServer tested(limits);
    RawCaller caller(tested.endpoint);
    cr_assert(caller.send(get("/now")));
    cr_assert(caller.receiveToEnd());
    cr_assert_neq(caller.received.find("\r\nConnection: close\r\n"), std::string::npos, "%s", caller.received.c_str());

    RawCaller reader(tested.endpoint);
    cr_assert(reader.send(get("/stream")));
    cr_assert(tested.waitForRequest());
    tested.held[0]->beginStream(200, {});
    tested.held[0]->finish();
    cr_assert(reader.receiveToEnd());
    cr_assert_neq(reader.received.find("\r\nConnection: close\r\n"), std::string::npos, "%s", reader.received.c_str());
}

Test(serverClose, refusalArrivesThoughTheCallerSendsOnForLongerThanTheServerLingers, .timeout = 30)
{
    http::ServerLimits limits;
    limits.bodyBytes = 1000;
    limits.lingerTimeout = 500ms;
    TestedServer tested(limits);
    RawCaller caller(tested.endpoint);
    cr_assert(caller.send("POST /now HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n"));
    for (int i = 0; i < 20; ++i) {
        caller.send(std::string(1000, 'x'));
        runFor(50ms);
    }
    cr_assert(caller.receiveUntil("HTTP/1.1 413"), "%s", caller.received.c_str());
}

Test(serverClose, requestThatWaitsBehindAKeptStreamIsAnsweredInTheDrain, .timeout = 30)
{
    TestedServer tested;
    RawCaller caller(tested.endpoint);
    caller.send(get("/stream"));
    cr_assert(tested.waitForRequest());
    tested.held[0]->beginStream(200, {});
    tested.held[0]->write("first");
    cr_assert(caller.receiveUntil("first"));
    caller.send(get("/now"));
    runFor(50ms);
    tested.drain();
    tested.held[0]->finish();
    cr_assert(caller.receiveToEnd());
    cr_assert_eq(caller.answers(), 2, "%s", caller.received.c_str());
    cr_assert(caller.received.find("Connection: close\r\n\r\nanswer to /now") != std::string::npos, "%s",
        caller.received.c_str());
}

Test(serverClose, requestsThatWaitBehindAnAnswerAreAnsweredAfterTheAnnouncement, .timeout = 30)
{
    TestedServer tested;
    RawCaller caller(tested.endpoint);
    caller.send(get("/held"));
    cr_assert(tested.waitForRequest());
    caller.send(get("/now") + get("/now"));
    runFor(50ms);
    tested.server.announceClosing();
    tested.held[0]->respond(200, {}, "late");
    cr_assert(caller.receiveToEnd());
    cr_assert_eq(caller.answers(), 3, "%s", caller.received.c_str());
    cr_assert(caller.received.ends_with("Connection: close\r\n\r\nanswer to /now"), "%s", caller.received.c_str());
}

Test(serverClose, answersThatBeginAfterTheAnnouncementSayThatTheConnectionCloses, .timeout = 30)
{
    TestedServer tested;
    RawCaller caller(tested.endpoint);
    caller.send(get("/held"));
    cr_assert(tested.waitForRequest());
    tested.server.announceClosing();
    tested.held[0]->respond(200, {}, "late");
    cr_assert(caller.receiveToEnd());
    cr_assert(
        caller.received.find("Connection: close\r\n\r\nlate") != std::string::npos, "%s", caller.received.c_str());
}

Test(serverClose, answerArrivesWholeWhenTheCallerSendsMore, .timeout = 30)
{
    constexpr int receiveBuffer = 4 << 10;
    const std::string body(1 << 20, 'x');
    TestedServer tested;
    RawCaller caller(tested.endpoint, receiveBuffer);
    caller.send(get("/held", "Connection: close\r\n"));
    cr_assert(tested.waitForRequest());
    tested.held[0]->respond(200, {}, body);
    caller.send(get("/more"));
    runFor(100ms);
    // Reads slower than the server writes, and sends on.
    const auto readSome = [&] {
        caller.receive(receiveBuffer);
        caller.send(get("/more"));
        return caller.ended;
    };
    cr_assert(waitUntil(readSome, 20s));
    cr_expect_not(caller.wasReset);
    cr_assert(caller.received.ends_with(body), "%zu bytes received", caller.received.size());
    cr_assert_eq(tested.requests, 1);
}

Test(serverClose, callerThatNeverReadsIsClosedOnInBoundedTime, .timeout = 60)
{
    http::ServerLimits limits;
    limits.sendTimeout = 500ms;
    TestedServer tested(limits);
    const RawCaller caller(tested.endpoint, 4 << 10);
    cr_assert(caller.send(get("/held", "Connection: close\r\n")));
    cr_assert(tested.waitForRequest());
    tested.held[0]->respond(200, {}, std::string(16 << 20, 'x'));
    runFor(50ms);
    cr_assert_eq(tested.server.connectionCount(), 1);
    // The first interval has progress: what the sockets hold.
    cr_assert(tested.waitUntilClosed(2 * limits.sendTimeout + 2s));
}

Test(serverClose, callerThatNeverClosesIsWaitedForInBoundedTime, .timeout = 30)
{
    http::ServerLimits limits;
    limits.lingerTimeout = 300ms;
    TestedServer tested(limits);
    RawCaller caller(tested.endpoint);
    caller.send(get("/now", "Connection: close\r\n"));
    cr_assert(caller.receiveToEnd());
    cr_assert_eq(caller.answers(), 1);
    cr_assert_eq(tested.server.connectionCount(), 1);
    cr_assert(tested.waitUntilClosed(limits.lingerTimeout + 2s));
}

Test(serverClose, callerThatNeverStopsSendingIsClosedOnAfterABoundedAmount, .timeout = 60)
{
    constexpr size_t block = 1 << 20;
    constexpr size_t most = 256 * block;
    http::ServerLimits limits;
    limits.lingerTimeout = 30s;
    TestedServer tested(limits);
    RawCaller caller(tested.endpoint);
    caller.send(get("/now", "Connection: close\r\n"));
    cr_assert(caller.receiveToEnd());
    std::atomic<size_t> sent = 0;
    std::jthread sender([&] {
        const std::string bytes(block, 'x');
        while (sent < most && caller.send(bytes))
            sent += block;
    });
    cr_assert(waitUntil([&] { return sent >= most || !tested.server.connectionCount(); }, 25s));
    sender.join();
    cr_assert_lt(sent.load(), most);
}

Test(serverClose, idleCallersThatNeverCloseDoNotHoldUpADrain, .timeout = 30)
{
    TestedServer tested;
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int i = 0; i < 6; ++i)
        callers.push_back(tested.connectKept());
    runFor(600ms);
    tested.drain();
    cr_assert(tested.waitUntilClosed(500ms));
    for (const auto& caller : callers)
        cr_assert(caller->receiveToEnd());
}

Test(serverClose, callerThatStopsReceivingAKeptAnswerDoesNotHoldUpADrain, .timeout = 60)
{
    constexpr size_t answerBytes = 100 << 10; // the systems hold them
    http::ServerLimits limits;
    limits.lingerTimeout = 300ms;
    TestedServer tested(limits);
    RawCaller caller(tested.endpoint, 4 << 10);
    caller.send(get("/held"));
    cr_assert(tested.waitForRequest());
    tested.held[0]->respond(200, {}, std::string(answerBytes, 'x') + "end");
    runFor(200ms);
    tested.drain();
    cr_expect(tested.waitUntilClosed(limits.lingerTimeout + 2s));
    cr_assert(caller.receiveToEnd());
    cr_assert(caller.received.ends_with("end"), "%zu bytes", caller.received.size());
    cr_expect_not(caller.wasReset);
}

Test(serverClose, longerIdleTimeDoesNotHoldUpADrain, .timeout = 60)
{
    constexpr size_t answerBytes = 4 << 20;
    http::ServerLimits limits;
    limits.idleTimeout = 1s;
    TestedServer tested(limits);
    RawCaller receiving(tested.endpoint, 4 << 10);
    receiving.send(get("/held"));
    cr_assert(tested.waitForRequest());
    tested.held[0]->respond(200, {}, std::string(answerBytes, 'x') + "end");
    runFor(50ms);
    const RawCaller silent(tested.endpoint);
    runFor(50ms);
    tested.drain();
    cr_assert_eq(tested.server.connectionCount(), 2);
    tested.server.setLimits({});
    cr_expect(waitUntil([&] { return tested.server.connectionCount() == 1; }, 2s), "a caller that sends nothing");
    cr_expect(receiving.receiveUntil("end", 20s));
    cr_expect(tested.waitUntilClosed(2s), "a caller that has received its answer");
}

Test(serverClose, abortedStreamKeepsItsQueuedEventsAndLooksIncomplete, .timeout = 30)
{
    constexpr int receiveBuffer = 4 << 10;
    constexpr size_t padding = 16 << 10;
    constexpr int count = 256; // more than the sockets hold
    TestedServer tested;
    RawCaller caller(tested.endpoint, receiveBuffer);
    caller.send(get("/stream"));
    cr_assert(tested.waitForRequest());
    tested.held[0]->beginStream(200, {});
    std::string expected;
    for (int i = 1; i <= count; ++i) {
        tested.held[0]->write(eventOf(i, padding));
        expected += eventOf(i, padding);
    }
    bool isCallerGone = false;
    tested.held[0]->onCallerGone = [&] { isCallerGone = true; };
    runFor(50ms);
    cr_assert_gt(tested.held[0]->unsentBytes(), 0);
    tested.held[0]->abort();
    cr_assert(caller.receiveToEnd(20s));
    cr_expect_not(caller.wasReset);
    cr_expect_not(isCallerGone, "the end of an aborted answer was reported as a caller that left");
    cr_assert(
        chunksOf(caller.received) == expected, "%zu of %zu bytes", chunksOf(caller.received).size(), expected.size());
    cr_assert_not(caller.received.ends_with("0\r\n\r\n"));
}

Test(serverClose, requestsInTheListenBacklogAreAnsweredWhenTheServerCloses, .timeout = 30)
{
    TestedServer tested;
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int i = 0; i < 20; ++i) {
        callers.push_back(std::make_unique<RawCaller>(tested.endpoint));
        cr_assert(callers.back()->send(get("/now")));
    }
    tested.drain();
    int answers = 0;
    for (const auto& caller : callers) {
        cr_assert(caller->receiveToEnd());
        answers += caller->answers();
        cr_expect_not(caller->wasReset);
    }
    cr_assert_eq(answers, 20, "%d of 20 answered", answers);
    callers.clear();
    cr_assert(tested.waitUntilClosed(patience));
}

Test(serverClose, callerThatHasJustConnectedIsAnsweredInTheDrain, .timeout = 30)
{
    TestedServer tested;
    auto caller = std::make_unique<RawCaller>(tested.endpoint);
    const RawCaller silent(tested.endpoint);
    tested.drain();
    runFor(100ms);
    cr_assert(caller->send(get("/now")));
    cr_assert(caller->receiveToEnd());
    cr_assert_eq(caller->answers(), 1);
    caller.reset();
    cr_assert(tested.waitUntilClosed(2s), "a caller that sends nothing holds up the drain");
}

Test(serverClose, requestThatIsCompletedWhileTheEventLoopIsBusyIsNotTimedOut, .timeout = 30)
{
    http::ServerLimits limits;
    limits.headerTimeout = 200ms;
    TestedServer tested(limits);
    RawCaller caller(tested.endpoint);
    cr_assert(caller.send("GET /now HTTP/1.1\r\n"));
    runFor(100ms);
    cr_assert(caller.send("Host: x\r\n\r\n"));
    QThread::msleep(200);
    cr_assert(caller.receiveUntil("answer to /now"), "%s", caller.received.c_str());
}

Test(serverClose, requestsThatArriveWhileAnInstanceIsFrozenInItsDrainAreAnswered, .timeout = 60)
{
    const Application application;
    ForwardSite site;
    auto& entry = site.startEntry();
    const auto address = entry.address();
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int i = 0; i < 6; ++i) {
        callers.push_back(std::make_unique<RawCaller>(address));
        callers.back()->send(siteRequest("kept-" + std::to_string(i)));
        cr_assert(callers.back()->receiveUntil("HTTP/1.1 200"), "%s", callers.back()->received.c_str());
    }
    runFor(100ms);
    for (const auto& caller : callers) {
        caller->receive();
        caller->received.clear();
    }
    entry.terminate();
    runFor(200ms); // the notice lasts 300 ms
    entry.freeze();
    for (int i = 0; i < 6; ++i) {
        cr_assert(callers[static_cast<size_t>(i)]->send(siteRequest("late-" + std::to_string(i))));
        callers.push_back(std::make_unique<RawCaller>(address));
        cr_assert(callers.back()->send(siteRequest("new-" + std::to_string(i))));
    }
    runFor(400ms);
    entry.thaw();
    int answers = 0;
    for (const auto& caller : callers) {
        cr_expect(caller->receiveToEnd());
        answers += caller->answers();
    }
    cr_assert_eq(answers, 12, "%d of 12 answered", answers);
    callers.clear();
    cr_assert_eq(entry.waitForExit(10s), 0);
}

// The server ends connections in order: what a caller has sent whole is answered, and what was answered arrives.
//
// The server runs in the test's own event loop, so that a busy loop is a loop that is not run. The callers use blocking
// system calls.

#include "http/DiscardedBytes.h"
#include "tests/support/ForwardSite.h"
#include "tests/support/TestedServer.h"

#include <QThread>
#include <atomic>
#include <criterion/criterion.h>
#include <thread>

using namespace testing;
using namespace dragonfly;
using namespace std::chrono_literals;

namespace {

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

constexpr int smallReceiveBuffer = 4 << 10;
constexpr size_t slowAnswerBytes = 4 << 20; ///< more than the systems hold

/// A stream whose head said that the connection is kept.
struct KeptStream {
    TestedServer tested;
    RawCaller caller { this->tested.endpoint, smallReceiveBuffer };

    KeptStream()
    {
        this->caller.send(get("/stream"));
        require(this->tested.waitForRequest(), "no request");
        this->tested.held[0]->beginStream(200, {});
    }
    void allowNoIdleTime()
    {
        http::ServerLimits limits;
        limits.idleTimeout = 0ms;
        this->tested.server.setLimits(limits);
    }
    void finish(size_t bytes)
    {
        this->tested.held[0]->write(std::string(bytes, 'x') + "end");
        this->tested.held[0]->finish();
    }
};

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
    http::ServerLimits limits;
    limits.idleTimeout = 200ms;
    TestedServer tested(limits);
    RawCaller caller(tested.endpoint, smallReceiveBuffer);
    caller.send(get("/held"));
    cr_assert(tested.waitForRequest());
    tested.held[0]->respond(200, {}, std::string(slowAnswerBytes, 'x') + "end");
    runFor(500ms);
    receiveThenSend(caller, slowAnswerBytes);
    cr_assert(isAnsweredOrReset(caller), "discarded in silence");
}

Test(serverClose, requestAfterAKeptStreamIsNotDiscardedInTheDrain, .timeout = 60)
{
    KeptStream stream;
    stream.tested.drain();
    stream.finish(slowAnswerBytes);
    runFor(200ms);
    receiveThenSend(stream.caller, slowAnswerBytes);
    cr_assert(isAnsweredOrReset(stream.caller), "discarded in silence");
}

Test(serverClose, requestAfterAKeptStreamIsNotDiscardedWhenConnectionsMayNoLongerBeIdle, .timeout = 60)
{
    KeptStream stream;
    stream.allowNoIdleTime();
    stream.finish(slowAnswerBytes);
    runFor(200ms);
    receiveThenSend(stream.caller, slowAnswerBytes);
    cr_assert(isAnsweredOrReset(stream.caller), "discarded in silence");
}

Test(serverClose, callerLearnsOfTheCloseWithTheEndOfAKeptStream, .timeout = 30)
{
    constexpr size_t answerBytes = 100 << 10; // the systems hold them
    for (const bool isDrained : { true, false }) {
        KeptStream stream;
        if (isDrained)
            stream.tested.drain();
        else
            stream.allowNoIdleTime();
        stream.finish(answerBytes);
        runFor(20ms);
        // The server does not run from here on.
        auto& caller = stream.caller;
        for (int i = 0; i < 500 && !caller.ended; ++i) {
            caller.receive();
            QThread::msleep(2);
        }
        cr_expect(caller.ended, "%s: the next request would cross the close", isDrained ? "drain" : "no idle time");
        cr_expect_not(caller.wasReset);
        cr_expect(caller.received.ends_with("0\r\n\r\n"), "%zu bytes", caller.received.size());
    }
}

Test(serverClose, requestThatIsCompletedWhileTheEventLoopIsBusyOnAKeptConnectionIsNotTimedOut, .timeout = 30)
{
    http::ServerLimits limits;
    limits.headerTimeout = 200ms;
    TestedServer tested(limits);
    const auto caller = tested.connectKept();
    const auto text = get("/now");
    caller->send(text.substr(0, 10));
    runFor(100ms);
    caller->send(text.substr(10));
    QThread::msleep(300);
    cr_assert(caller->receiveUntil("\r\n\r\n", patience));
    cr_expect_eq(caller->answers(), 1, "%s", caller->received.c_str());
}

Test(serverClose, requestThatIsReleasedUnansweredGetsAnAnswerAndIsReported, .timeout = 30)
{
    TestedServer tested;
    std::vector<std::string> unanswered;
    tested.server.observer.onUnanswered = [&](const http::Request& request) { unanswered.push_back(request.target); };
    RawCaller caller(tested.endpoint);
    caller.send(get("/released"));
    cr_assert(tested.waitForRequest());
    tested.held.clear();
    cr_assert(caller.receiveUntil("\r\n\r\n", patience), "no answer");
    cr_expect(caller.received.starts_with("HTTP/1.1 502 "), "%s", caller.received.c_str());
    cr_expect(caller.received.find("Dragonfly-Execution: unknown\r\n") != std::string::npos);
    cr_assert_eq(unanswered.size(), 1);
    cr_expect_str_eq(unanswered[0].c_str(), "/released");
}

Test(serverClose, streamThatIsReleasedBeforeItsEndLooksIncompleteAndIsReported, .timeout = 30)
{
    TestedServer tested;
    int unanswered = 0;
    tested.server.observer.onUnanswered = [&](const http::Request&) { ++unanswered; };
    RawCaller caller(tested.endpoint);
    caller.send(get("/stream"));
    cr_assert(tested.waitForRequest());
    tested.held[0]->beginStream(200, {});
    tested.held[0]->write(eventOf(1, 10));
    tested.held.clear();
    cr_assert(caller.receiveToEnd(patience), "the stream does not end");
    cr_expect(chunksOf(caller.received) == eventOf(1, 10), "%s", caller.received.c_str());
    cr_expect(!caller.received.ends_with("0\r\n\r\n"));
    cr_expect_eq(unanswered, 1);
}

Test(serverClose, requestWhoseCallerHasLeftIsNotReportedAsUnanswered, .timeout = 30)
{
    TestedServer tested;
    int unanswered = 0;
    tested.server.observer.onUnanswered = [&](const http::Request&) { ++unanswered; };
    RawCaller leaving(tested.endpoint);
    RawCaller ending(tested.endpoint);
    leaving.send(get("/held"));
    ending.send(get("/held"));
    cr_assert(waitUntil([&] { return tested.held.size() == 2; }, patience));
    leaving.close();
    ending.endSending();
    tested.held.clear(); // before the event loop has handled either
    cr_assert(tested.waitUntilClosed(patience));
    cr_expect_eq(unanswered, 0);
}

Test(serverClose, eachRequestThatBeginsIsCountedOnceAtItsEnd, .timeout = 30)
{
    TestedServer tested;
    int begun = 0;
    int ended = 0;
    tested.server.observer.onBegun = [&] { ++begun; };
    tested.server.observer.onEnded = [&] { ++ended; };
    auto kept = tested.connectKept();
    cr_expect_eq(begun, 1);
    cr_expect_eq(ended, 1);
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int i = 0; i < 4; ++i) {
        callers.push_back(std::make_unique<RawCaller>(tested.endpoint));
        callers.back()->send(get("/held"));
    }
    cr_assert(waitUntil([&] { return tested.held.size() == 4; }, patience));
    cr_expect_eq(begun, 5);
    cr_expect_eq(ended, 1);
    tested.held[0]->respond(200, {}, "answer");
    tested.held[1]->beginStream(200, {});
    tested.held[1]->finish();
    tested.held[2]->abort();
    callers[3]->reset();
    kept->send("no request\r\n\r\n"); // refused while it is read
    cr_assert(kept->receiveUntil("400", patience));
    cr_expect(waitUntil([&] { return ended == 5; }, patience), "%d ended", ended);
    tested.held.clear();
    callers.clear();
    kept->close();
    cr_assert(tested.waitUntilClosed(patience));
    cr_expect_eq(begun, 5);
    cr_expect_eq(ended, 5);
}

Test(serverClose, endOfAHeadIsFoundAmongDiscardedBytesInPieces)
{
    for (const size_t piece : { 1u, 2u, 3u, 4u, 5u, 100u }) {
        http::DiscardedBytes whole;
        http::DiscardedBytes part;
        const auto text = get("/x");
        for (size_t at = 0; at < text.size(); at += piece)
            http::recordDiscarded(whole, std::string_view(text).substr(at, piece));
        for (size_t at = 0; at + 1 < text.size(); at += piece)
            http::recordDiscarded(part, std::string_view(text).substr(at, std::min(piece, text.size() - 1 - at)));
        cr_expect(whole.hasWholeHead, "pieces of %zu", piece);
        cr_expect_eq(whole.count, text.size());
        cr_expect_not(part.hasWholeHead, "pieces of %zu", piece);
    }
}

Test(serverClose, inputThatAClosingConnectionDiscardsIsReported, .timeout = 30)
{
    TestedServer tested;
    std::vector<http::DiscardedInput> discarded;
    tested.server.observer.onInputDiscarded = [&](const http::DiscardedInput& input) { discarded.push_back(input); };
    const auto discardedBy = [&](const std::vector<std::string>& sent) {
        discarded.clear();
        RawCaller caller(tested.endpoint);
        caller.send(get("/now", "Connection: close\r\n"));
        cr_assert(caller.receiveToEnd(patience));
        for (const auto& part : sent) {
            cr_assert(caller.send(part));
            runFor(50ms);
        }
        caller.close();
        cr_assert(tested.waitUntilClosed(patience));
    };
    const auto second = get("/second");
    discardedBy({ second });
    cr_assert_eq(discarded.size(), 1);
    cr_expect_eq(discarded[0].bytes, second.size());
    cr_expect(discarded[0].hasWholeHead);
    cr_expect(discarded[0].reason == "the caller asked to close");
    cr_expect(discarded[0].address.find("127.0.0.1") != std::string::npos);
    const auto split = second.size() - 2;
    discardedBy({ second.substr(0, split), second.substr(split, 1), second.substr(split + 1) });
    cr_assert_eq(discarded.size(), 1);
    cr_expect_eq(discarded[0].bytes, second.size());
    cr_expect(discarded[0].hasWholeHead, "a head in parts");
    discardedBy({ second.substr(0, second.size() - 1) });
    cr_assert_eq(discarded.size(), 1);
    cr_expect_not(discarded[0].hasWholeHead, "a head without its end");
    discardedBy({});
    cr_expect(discarded.empty());
}

Test(serverClose, instanceNamesARequestThatAClosingConnectionDiscardsAndCountsIt, .timeout = 60)
{
    const Application application;
    ForwardSite site;
    auto& entry = site.startEntry();
    RawCaller caller(entry.address());
    const auto first = siteRequest("first");
    caller.send(first.substr(0, first.find("Host:")) + "Connection: close\r\n" + first.substr(first.find("Host:")));
    cr_assert(caller.receiveToEnd());
    cr_assert_eq(caller.answers(), 1, "%s", caller.received.c_str());
    caller.send(siteRequest("second"));
    runFor(100ms);
    caller.close();
    const auto line = [&] { return entry.findLine("input of a closing connection discarded"); };
    cr_assert(waitUntil([&] { return !line().empty(); }, patience));
    cr_expect(line().find("whole_head=yes closed_because=\"the caller asked to close\"") != std::string::npos, "%s",
        line().c_str());
    cr_expect_eq(metricOf(entry, "dragonfly_discarded_inputs_total"), 1);
    cr_expect_eq(metricOf(entry, "dragonfly_requests_begun_total"), 1);
    cr_expect_eq(metricOf(entry, "dragonfly_requests_ended_total"), 1);
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

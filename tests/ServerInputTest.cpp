// What a server keeps of a request that is not complete is bounded, and only the head of a request describes it.

#include "tests/support/Site.h"
#include "tests/support/TestedServer.h"

#include <atomic>
#include <criterion/criterion.h>
#include <ctime>
#include <thread>

using namespace testing;
using namespace dragonfly;
using namespace std::chrono_literals;

namespace {

std::string chunkedHead(const std::string& path)
{
    return "POST " + path + " HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
}

/// Sends @p start of a chunked body and then @p repeated, until the server answers.
void expectRefused(const std::string& start, const std::string& repeated)
{
    constexpr size_t block = 64 << 10;
    constexpr size_t most = 8 << 20; // more than the sockets and the limits of the server hold
    std::string bytes;
    while (bytes.size() < block)
        bytes += repeated;
    TestedServer tested;
    RawCaller caller(tested.endpoint);
    cr_assert(caller.send(chunkedHead("/now") + start));
    std::atomic<bool> isAnswered = false;
    std::atomic<bool> hasStopped = false;
    std::atomic<size_t> sent = 0;
    const std::jthread sender([&] {
        while (!isAnswered && sent < most && caller.send(bytes))
            sent += bytes.size();
        hasStopped = true;
    });
    const bool isRefused = caller.receiveUntil("HTTP/1.1 400");
    isAnswered = true;
    cr_assert(waitUntil([&] { return hasStopped.load(); }, patience));
    cr_expect(isRefused, "kept %zu bytes from \"%s\" on", sent.load(), start.c_str());
    cr_expect(caller.received.find("Dragonfly-Execution: not-run") != std::string::npos);
    cr_expect_eq(tested.requests, 0);
}

}

Test(serverInput, chunkExtensionWithoutEndIsRefused, .timeout = 30)
{
    expectRefused("4;name=", "x");
}

Test(serverInput, chunkSizeWithoutEndIsRefused, .timeout = 30)
{
    expectRefused("", "0");
}

Test(serverInput, trailersWithoutEndAreRefused, .timeout = 30)
{
    expectRefused("4\r\nbody\r\n0\r\n", "Name: value\r\n");
}

Test(serverInput, trailerWithoutEndIsRefused, .timeout = 30)
{
    expectRefused("4\r\nbody\r\n0\r\nName: ", "x");
}

Test(serverInput, chunkedBodyWithExtensionsAndTrailersIsReadWhole, .timeout = 30)
{
    const std::string chunk(4096, 'x');
    TestedServer tested;
    RawCaller caller(tested.endpoint);
    std::string text = chunkedHead("/held");
    std::string body;
    for (int i = 0; i < 64; ++i) {
        text += "1000;name=\"" + std::string(1000, 'y') + "\"\r\n" + chunk + "\r\n";
        body += chunk;
    }
    text += "0;last\r\nName: value\r\nOther: " + std::string(4096, 'z') + "\r\n\r\n";
    const std::jthread sender([&] { caller.send(text + get("/now")); });
    cr_assert(tested.waitForRequest());
    cr_assert(tested.held[0]->request().body == body);
    tested.held[0]->respond(200, {}, "first");
    cr_assert(caller.receiveUntil("answer to /now"), "%s", caller.received.c_str());
    cr_assert_eq(caller.answers(), 2);
}

Test(serverInput, chunkedBodyInSingleBytesIsReadWhole, .timeout = 30)
{
    TestedServer tested;
    RawCaller caller(tested.endpoint);
    for (const auto byte : chunkedHead("/held") + "4;name=value\r\nbody\r\n0\r\nName: value\r\n\r\n") {
        caller.send(std::string(1, byte));
        runFor(1ms);
    }
    cr_assert(tested.waitForRequest());
    cr_assert(tested.held[0]->request().body == "body");
}

Test(serverInput, trailersAreNoHeadersOfTheRequest, .timeout = 30)
{
    TestedServer tested;
    RawCaller caller(tested.endpoint);
    cr_assert(caller.send(chunkedHead("/held")
        + "4\r\nbody\r\n0\r\nAuthorization: Bearer x\r\nDeadline: 1\r\nHost: other\r\nConnection: close\r\n\r\n"));
    cr_assert(tested.waitForRequest());
    const auto& headers = tested.held[0]->request().headers;
    cr_expect_not(headers.find("Authorization"));
    cr_expect_not(headers.find("Deadline"));
    cr_expect_not(headers.find("Connection"));
    cr_expect_eq(std::ranges::count_if(headers, [](const auto& field) { return field.name == "Host"; }), 1);
    tested.held[0]->respond(200, {}, "first");
    cr_assert(caller.receiveUntil("first"));
    cr_expect_eq(caller.received.find("Connection: close"), std::string::npos);
}

namespace {

constexpr size_t small = 10 << 10;

/// Runs the event loop until @p bytes are sent or the connection has ended, and what was received is handled.
void sendWhileRunning(const RawCaller& caller, const std::string& bytes)
{
    std::atomic<bool> hasSent = false;
    const std::jthread sender([&] {
        caller.send(bytes);
        hasSent = true;
    });
    cr_assert(waitUntil([&] { return hasSent.load(); }, patience));
    runFor(30ms);
}

/// A caller that has sent @p bytes of a body that is larger by one.
std::unique_ptr<RawCaller> beginBody(const Endpoint& endpoint, const std::string& path, size_t bytes)
{
    auto caller = std::make_unique<RawCaller>(endpoint);
    sendWhileRunning(*caller,
        "POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(bytes + 1) + "\r\n\r\n"
            + std::string(bytes, 'x'));
    return caller;
}

}

Test(serverInput, largestBodiesAreRefusedWhenAllTogetherPassTheLimit, .timeout = 30)
{
    http::ServerLimits limits;
    limits.bodyBytes = 1 << 20;
    limits.receivedBytes = 2 << 20;
    TestedServer tested(limits);
    std::vector<std::unique_ptr<RawCaller>> large;
    std::vector<std::unique_ptr<RawCaller>> others;
    for (int i = 0; i < 6; ++i) {
        others.push_back(beginBody(tested.endpoint, "/now", small));
        large.push_back(beginBody(tested.endpoint, "/now", 900'000));
    }
    int refused = 0;
    for (const auto& caller : large) {
        caller->receive();
        if (caller->received.empty())
            continue;
        ++refused;
        cr_expect(caller->received.starts_with("HTTP/1.1 503"), "%s", caller->received.c_str());
        cr_expect(caller->received.find("Dragonfly-Execution: not-run") != std::string::npos);
        cr_expect(caller->received.find("Retry-After: ") != std::string::npos);
    }
    cr_expect_geq(refused, 4, "%d of 6 refused, of which two fit", refused);
    for (const auto& caller : others) {
        cr_assert(caller->send("x"));
        cr_expect(caller->receiveUntil("answer to /now"), "%s", caller->received.c_str());
    }
    cr_expect_eq(tested.requests, 6);
}

Test(serverInput, bodyOfTheLargestSizeIsReceivedThoughItPassesTheLimitOfAll, .timeout = 30)
{
    http::ServerLimits limits;
    limits.bodyBytes = 1 << 20;
    limits.receivedBytes = 64 << 10;
    TestedServer tested(limits);
    const auto caller = beginBody(tested.endpoint, "/now", limits.bodyBytes - 1);
    cr_assert(caller->send("x"));
    cr_assert(caller->receiveUntil("answer to /now"), "%s", caller->received.c_str());
}

Test(serverInput, requestsBehindAnAnswerAreBoundedTogether, .timeout = 30)
{
    http::ServerLimits limits;
    limits.bodyBytes = 100 << 10;
    limits.receivedBytes = 1 << 20;
    TestedServer tested(limits);
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int i = 0; i < 12; ++i) {
        callers.push_back(std::make_unique<RawCaller>(tested.endpoint));
        cr_assert(callers.back()->send(get("/held")));
    }
    cr_assert(waitUntil([&] { return tested.held.size() == callers.size(); }, patience));
    const auto other = tested.connectKept();
    for (const auto& caller : callers)
        sendWhileRunning(*caller, std::string(250 << 10, 'x'));
    const auto count = std::ranges::count_if(callers, [](const auto& caller) { return caller->isReset(); });
    cr_expect_geq(count, 8, "%d of 12 reset, of which four fit", static_cast<int>(count));
    cr_assert(other->send(get("/now")));
    cr_assert(other->receiveUntil("answer to /now"));
}

Test(serverInput, connectionThatIsKeptHoldsNothingOfALargeRequest, .timeout = 60)
{
    constexpr int connections = 200;
    constexpr size_t body = 1 << 20;
    const Application application;
    Site site;
    site.startEntry();
    const auto before = site.entries[0]->residentBytes();
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int i = 0; i < connections; ++i) {
        callers.push_back(std::make_unique<RawCaller>(site.entry(0)));
        cr_assert(callers.back()->send("POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: "
            + std::to_string(body) + "\r\n\r\n" + std::string(body, 'x')));
        cr_assert(callers.back()->receiveUntil("HTTP/1.1 401"));
    }
    const auto after = site.entries[0]->residentBytes();
    // What a connection itself takes is less than a read buffer by far.
    cr_expect_leq(after, before + connections * (64u << 10), "grew by %zu kB", (after - std::min(before, after)) >> 10);
}

Test(serverInput, bodiesWithoutEndDoNotFillMemoryTogether, .timeout = 60)
{
    constexpr int count = 40;
    constexpr size_t bytes = 8'000'000;
    constexpr uint64_t allowedGrowth = 64u << 20; // two threads with two bodies of 8 MiB each, and as much again
    const Application application;
    Site site;
    site.startEntry();
    auto& entry = *site.entries[0];
    const auto before = entry.residentBytes();
    uint64_t most = before;
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int i = 0; i < count; ++i) {
        callers.push_back(beginBody(site.entry(0), "/v1/completions", bytes));
        most = std::max(most, entry.residentBytes());
    }
    cr_expect_leq(most, before + allowedGrowth, "grew by %zu MB", static_cast<size_t>((most - before) >> 20));
    RawCaller other(site.entry(0));
    cr_assert(other.send(get("/v1/models")));
    cr_expect(other.receiveUntil("HTTP/1.1 401"), "%s", other.received.c_str());
}

Test(serverInput, chunksOfSingleBytesDoNotBlockTheEventLoop, .timeout = 60)
{
    constexpr int chunks = 500'000;
    constexpr auto most = 1500ms; // six times the stall that the metrics count, for twelve full reads
    TestedServer tested;
    RawCaller caller(tested.endpoint);
    std::string text = chunkedHead("/now");
    for (int i = 0; i < chunks; ++i)
        text += "1\r\nx\r\n";
    const auto before = std::clock();
    sendWhileRunning(caller, text + "0\r\n\r\n");
    cr_assert(caller.receiveUntil("answer to /now", 40s));
    const std::chrono::milliseconds used((std::clock() - before) * 1000 / CLOCKS_PER_SEC);
    cr_expect_lt(used.count(), most.count(), "%lld ms of processor time", static_cast<long long>(used.count()));
}

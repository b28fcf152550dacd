// What a server keeps of a request that is not complete is bounded, and only the head of a request describes it.

#include "tests/support/TestedServer.h"

#include <atomic>
#include <criterion/criterion.h>
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

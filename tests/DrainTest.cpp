// A graceful shutdown interrupts no request (point 8 of docs/PROOF.md).

#include "tests/support/Site.h"

#include <criterion/criterion.h>

using namespace testing;
using namespace std::chrono_literals;

Test(drain, underLoadCompletesEveryRequest, .timeout = 90)
{
    const Application application;
    Site site;
    auto& draining = site.startEntry();
    site.startEntry();
    for (const auto& service : site.services)
        control(service->direct(), { { "delay_ms", 300 } });
    Caller caller(apiKey);
    std::vector<AnswerPointer> streams;
    std::vector<AnswerPointer> bookings;
    const auto sendOne = [&](int number) {
        // Like a load balancer, sends only to instances that report ready.
        const size_t entry = number % 2 && get(site.admin(0), "/ready")->status == 200 ? 0 : 1;
        const auto name = std::to_string(number);
        streams.push_back(caller.complete(site.entry(entry), "assistant", "Question " + name, 200, "drain-" + name));
        bookings.push_back(
            caller.post(site.entry(entry), "/book/visit", "{}", { { "Idempotency-Key", "drain-" + name } }));
    };
    for (int number = 0; number < 20; ++number) {
        sendOne(number);
        runFor(20ms);
    }
    draining.terminate();
    runFor(50ms);
    draining.terminate(); // a second signal must not shorten the drain
    for (int number = 20; number < 40 && draining.isRunning(); ++number) {
        sendOne(number);
        runFor(20ms);
    }
    cr_assert_eq(draining.waitForExit(20s), 0, "%s", draining.log().c_str());
    cr_assert(waitForAll(streams, 20s));
    cr_assert(waitForAll(bookings, 20s));
    for (size_t i = 0; i < streams.size(); ++i) {
        const auto content = readStream(*streams[i], "drain-" + std::to_string(i));
        cr_assert(
            content.done && content.tokens == 200, "stream %zu was interrupted: status %d", i, streams[i]->status);
        cr_assert_eq(bookings[i]->status, 200, "booking %zu was interrupted: %s", i, bookings[i]->body.c_str());
    }
    // The stored answers of the drained instance are available to repeats at the other one.
    for (size_t i = 0; i < bookings.size(); ++i) {
        const auto repeat
            = caller.post(site.entry(1), "/book/visit", "{}", { { "Idempotency-Key", "drain-" + std::to_string(i) } });
        cr_assert(waitFor(repeat));
        cr_assert(repeat->body == bookings[i]->body);
    }
    for (const auto& [key, runs] : executions(site))
        cr_assert_eq(runs, 1, "%s ran %d times", key.c_str(), runs);
}

Test(drain, longStreamCompletes, .timeout = 60)
{
    const Application application;
    Site site;
    auto& entry = site.startEntry();
    Caller caller(apiKey);
    const auto answer = caller.complete(site.entry(0), "assistant", "long", 1000, "long");
    cr_assert(waitUntil([&] { return !answer->body.empty(); }, 10s));
    entry.terminate();
    runFor(600ms); // longer than the drain notice, after which the listening socket is closed
    Caller late(apiKey);
    const auto refused = late.complete(site.entry(0), "assistant", "late", 1, "late");
    cr_assert(waitFor(refused));
    cr_assert_eq(refused->status, 0, "a draining instance accepted a connection");
    cr_assert(waitFor(answer));
    cr_assert(readStream(*answer, "long").done);
    cr_assert_eq(entry.waitForExit(10s), 0);
}

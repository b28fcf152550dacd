// The HTTP client against answers of every shape that a target can send.

#include "http/Http.h"
#include "tests/support/Process.h"
#include "tests/support/RawServer.h"

#include <QCoreApplication>
#include <criterion/criterion.h>
#include <optional>

using namespace testing;
using namespace dragonfly;
using namespace std::chrono_literals;

namespace {

struct Outcome {
    bool ended = false;
    bool complete = false;
    int status = 0;
    std::string body;
    std::optional<http::CallFailure> failure;
};

Outcome call(const RawServer& server, std::chrono::milliseconds time = 1s)
{
    static int count = 0;
    static QCoreApplication application(count, nullptr);
    http::ClientPool pool;
    Outcome outcome;
    http::CallEvents events;
    events.onHead = [&](const http::ResponseHead& head) { outcome.status = head.status; };
    events.onBody = [&](std::string_view bytes) { outcome.body.append(bytes); };
    events.onComplete = [&] { outcome.ended = outcome.complete = true; };
    events.onFailure = [&](const http::CallFailure& failure) {
        outcome.ended = true;
        outcome.failure = failure;
    };
    const auto now = Clock::now();
    pool.send(server.address(), { "GET", "/", {}, {} }, { now + time, now + time }, events);
    waitUntil([&] { return outcome.ended; }, time + 1s);
    return outcome;
}

const std::string withoutLength = "HTTP/1.1 200 OK\r\n\r\nhello";

}

Test(clientAnswer, withoutLengthIsWholeAfterAnOrderlyClose)
{
    for (const auto delay : { 0ms, 50ms }) {
        const RawServer server({ { withoutLength, Ending::Close, delay } });
        const auto outcome = call(server);
        cr_assert(outcome.complete, "closed after %d ms", static_cast<int>(delay.count()));
        cr_assert_eq(outcome.body, "hello");
    }
}

Test(clientAnswer, withoutLengthIsNotWholeAfterAReset)
{
    for (const auto delay : { 0ms, 1ms, 50ms }) {
        const RawServer server({ { withoutLength, Ending::Reset, delay } });
        const auto outcome = call(server);
        cr_assert(outcome.ended);
        cr_assert_not(outcome.complete, "reset after %d ms", static_cast<int>(delay.count()));
    }
}

Test(clientAnswer, isTheFinalOneAfterInterimAnswers)
{
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    const std::string hint = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
    const RawServer server(
        { { interim + hint + interim + "HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok", Ending::Close, 0ms } });
    const auto outcome = call(server);
    cr_assert(outcome.complete);
    cr_assert_eq(outcome.status, 201);
    cr_assert_eq(outcome.body, "ok");
}

Test(clientAnswer, failsAfterTooManyInterimAnswers)
{
    std::string flood;
    for (int i = 0; i < 100; ++i)
        flood += "HTTP/1.1 100 Continue\r\n\r\n";
    const RawServer server({ { flood + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", Ending::Silence, 0ms } });
    const auto outcome = call(server);
    cr_assert(outcome.failure.has_value());
    cr_assert_eq(outcome.failure->kind, http::CallFailureKind::Malformed);
}

Test(clientAnswer, endsByTheDeadlineWhateverTheTargetSends)
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::vector<std::string> unfinished { "", "HTTP/1.1 100 Continue\r\n\r\n", head,
        head + "Content-Length: 9\r\n\r\nhel", head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhel", withoutLength };
    for (const auto& bytes : unfinished) {
        const RawServer server({ { bytes, Ending::Silence, 0ms } });
        const auto began = Clock::now();
        const auto outcome = call(server, 300ms);
        cr_assert(outcome.failure.has_value(), "%s", bytes.c_str());
        cr_assert_eq(outcome.failure->kind, http::CallFailureKind::TimedOut);
        cr_assert_lt(Clock::now() - began, 600ms);
    }
}

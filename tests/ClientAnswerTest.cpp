// The HTTP client with answers that are delimited, interrupted or delayed in every way that a target can.

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
    bool endsWithConnection = false;
    std::string body;
    std::optional<http::CallFailure> failure;
};

Outcome call(const RawServer& server, std::chrono::milliseconds timeout = 1s)
{
    static int count = 0;
    static QCoreApplication application(count, nullptr);
    http::ClientPool pool;
    Outcome outcome;
    http::CallEvents events;
    events.onHead = [&](const http::ResponseHead& head) {
        outcome.status = head.status;
        outcome.endsWithConnection = head.endsWithConnection;
    };
    events.onBody = [&](std::string_view bytes) { outcome.body.append(bytes); };
    events.onComplete = [&] { outcome.ended = outcome.complete = true; };
    events.onFailure = [&](const http::CallFailure& failure) {
        outcome.ended = true;
        outcome.failure = failure;
    };
    const auto now = Clock::now();
    pool.send(server.address(), { "GET", "/", {}, {} }, { now + timeout, now + timeout }, events);
    waitUntil([&] { return outcome.ended; }, timeout + 1s);
    return outcome;
}

const std::string answerWithoutLength = "HTTP/1.1 200 OK\r\n\r\nhello";

}

Test(clientAnswer, withoutLengthIsCompleteAfterOrderlyClose)
{
    for (const auto delay : { 0ms, 50ms }) {
        const RawServer server({ { answerWithoutLength, Ending::Close, delay } });
        const auto outcome = call(server);
        cr_assert(outcome.complete, "closed after %d ms", static_cast<int>(delay.count()));
        cr_assert_eq(outcome.body, "hello");
    }
}

Test(clientAnswer, withoutLengthIsIncompleteAfterReset)
{
    for (const auto delay : { 0ms, 1ms, 50ms }) {
        const RawServer server({ { answerWithoutLength, Ending::Reset, delay } });
        const auto outcome = call(server);
        cr_assert(outcome.ended);
        cr_assert_not(outcome.complete, "reset after %d ms", static_cast<int>(delay.count()));
    }
}

Test(clientAnswer, headStatesWhetherOnlyTheEndOfTheConnectionDelimitsTheBody)
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::vector<std::pair<std::string, bool>> answers { { answerWithoutLength, true },
        { "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello", true }, { "HTTP/1.0 200 OK\r\n\r\nhello", true },
        { "HTTP/1.1 100 Continue\r\n\r\n" + answerWithoutLength, true },
        { head + "Content-Length: 5\r\n\r\nhello", false }, { head + "Content-Length: 0\r\n\r\n", false },
        { head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", false },
        { "HTTP/1.1 204 No Content\r\n\r\n", false } };
    for (const auto& [bytes, expected] : answers) {
        const RawServer server({ { bytes, Ending::Close, 0ms } });
        const auto outcome = call(server);
        cr_assert(outcome.complete, "%s", bytes.c_str());
        cr_assert_eq(outcome.endsWithConnection, expected, "%s", bytes.c_str());
    }
}

Test(clientAnswer, interimAnswersAreSkipped)
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

Test(clientAnswer, tooManyInterimAnswersFailAsMalformed)
{
    std::string interimAnswers;
    for (int i = 0; i < 100; ++i)
        interimAnswers += "HTTP/1.1 100 Continue\r\n\r\n";
    const RawServer server(
        { { interimAnswers + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", Ending::KeepOpen, 0ms } });
    const auto outcome = call(server);
    cr_assert(outcome.failure.has_value());
    cr_assert_eq(outcome.failure->kind, http::CallFailureKind::Malformed);
}

Test(clientAnswer, incompleteAnswerTimesOutAtDeadline)
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::vector<std::string> unfinished { "", "HTTP/1.1 100 Continue\r\n\r\n", head,
        head + "Content-Length: 9\r\n\r\nhel", head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhel",
        answerWithoutLength };
    for (const auto& bytes : unfinished) {
        const RawServer server({ { bytes, Ending::KeepOpen, 0ms } });
        const auto start = Clock::now();
        const auto outcome = call(server, 300ms);
        cr_assert(outcome.failure.has_value(), "%s", bytes.c_str());
        cr_assert_eq(outcome.failure->kind, http::CallFailureKind::TimedOut);
        cr_assert_lt(Clock::now() - start, 600ms);
    }
}

// Planned stops on the product's own interface: a request that is open when the drain ends gets a final answer, and one
// that arrives too late is refused.

#include "tests/support/OwnInterfaceSite.h"

#include <QTcpSocket>
#include <criterion/criterion.h>

using namespace testing;
using namespace dragonfly;
using namespace std::chrono_literals;

namespace {

/// An engine and a service that begin answers and never end them.
void begin(const ScriptedRequest& request, QTcpSocket& socket)
{
    if (!request.id.starts_with("begun"))
        return;
    ScriptedTarget::write(socket,
        "HTTP/1.1 200 OK\r\n" + ownIdLine(request)
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    const auto event = "data: {\"id\":\"" + request.id
        + "\",\"token_index\":0,\"choices\":[{\"index\":0,\"text\":\"hi\",\"finish_reason\":null}]}\n\n";
    ScriptedTarget::write(
        socket, QByteArray::number(static_cast<qulonglong>(event.size()), 16).toStdString() + "\r\n" + event + "\r\n");
}

struct StoppedSite {
    OwnInterfaceSite own;

    explicit StoppedSite(const std::string& drain)
        : own(begin, OwnInterfaceSite::answerHealthCheck, "drain: " + drain + "\n")
    {
    }

    Process& entry()
    {
        return *this->own.site.entries[0];
    }
    AnswerPointer send(const std::string& method, const std::string& path, const std::string& id)
    {
        return this->own.caller.send(this->own.site.entry(0),
            { method, path, { { "X-Request-Id", id }, { "Idempotency-Key", id } }, method == "POST" ? "{}" : "" });
    }
    AnswerPointer complete(const std::string& id, bool isStream)
    {
        return this->own.caller.complete(this->own.site.entry(0), "assistant", "a prompt", 1, id, isStream);
    }
    int arrivalsOf(const std::string& id) const
    {
        return this->own.target.arrivalsOf(id + "-0");
    }
};

}

Test(ownInterfaceStop, openRequestsGetAFinalAnswerWhenTheDrainEnds, .timeout = 60)
{
    StoppedSite stopped("{ grace: 2s }");
    const auto booking = stopped.send("POST", "/book-scripted", "booking");
    const auto reading = stopped.send("GET", "/scripted", "reading");
    const auto waiting = stopped.complete("waiting", true);
    const auto begun = stopped.complete("begun", true);
    const auto collected = stopped.complete("begun-collected", false);
    cr_assert(waitUntil([&] { return !begun->body.empty() && stopped.arrivalsOf("booking"); }, 5s));
    const auto signalled = Clock::now();
    stopped.entry().terminate();
    cr_assert_eq(stopped.entry().waitForExit(5s), 0);
    cr_assert_lt((Clock::now() - signalled) / 1ms, 2000);
    cr_assert(waitForAll({ booking, reading, waiting, begun, collected }, 5s));
    for (const auto& answer : { reading, waiting, collected }) {
        cr_assert(answer->whole && answer->status == 502, "status %d", answer->status);
        cr_assert(answer->execution() == "unknown" && answer->header("Retry-After").empty());
    }
    cr_assert(booking->whole && booking->status == 504, "status %d", booking->status);
    cr_assert(booking->execution() == "unknown");
    const auto content = readStream(*begun, "begun");
    cr_assert(begun->whole && content.failed && !content.done, "%s", begun->body.c_str());
    for (const auto* id : { "booking", "reading", "waiting", "begun", "begun-collected" }) {
        const auto line = stopped.entry().awaitLine("request=" + std::string(id) + " ");
        cr_assert(line.find("outcome=\"the instance stops\"") != std::string::npos, "%s: %s", id, line.c_str());
    }
}

Test(ownInterfaceStop, keyOfACallThatTheStopCutIsNotRunAgain, .timeout = 60)
{
    StoppedSite stopped("{ grace: 2s }");
    stopped.own.site.startEntry();
    const auto booking = stopped.send("POST", "/book-scripted", "booking");
    cr_assert(waitUntil([&] { return stopped.arrivalsOf("booking") == 1; }, 5s));
    stopped.entry().terminate();
    cr_assert_eq(stopped.entry().waitForExit(5s), 0);
    cr_assert(waitFor(booking));
    const auto repeated = stopped.own.caller.post(stopped.own.site.entry(1), "/book-scripted", "{}",
        { { "Idempotency-Key", "booking" }, { "X-Request-Id", "again" }, { "Dragonfly-Deadline-Ms", "3000" } });
    cr_assert(waitFor(repeated, 10s));
    cr_assert_eq(repeated->status, 504, "status %d %s", repeated->status, repeated->body.c_str());
    cr_assert(repeated->execution() == "unknown");
    cr_assert_eq(stopped.arrivalsOf("again"), 0);
}

Test(ownInterfaceStop, requestThatCannotEndInTimeIsRefusedAtOnce, .timeout = 60)
{
    StoppedSite stopped("{ notice: 1800ms, time: 200ms }");
    stopped.entry().terminate();
    runFor(1600ms);
    const std::vector<AnswerPointer> answers { stopped.send("POST", "/book-scripted", "booking"),
        stopped.send("GET", "/scripted", "reading"), stopped.complete("waiting", false) };
    cr_assert(waitForAll(answers, 5s));
    for (const auto& answer : answers) {
        cr_assert(answer->whole && answer->status == 503, "status %d %s", answer->status, answer->body.c_str());
        cr_assert(answer->execution() == "not-run" && !answer->header("Retry-After").empty());
        cr_assert_lt(answer->took().count(), 300);
    }
    for (const auto* id : { "booking", "reading", "waiting" }) {
        cr_assert_eq(stopped.arrivalsOf(id), 0);
        cr_assert_neq(stopped.entry().awaitLine("request=" + std::string(id) + " "), "", "%s", id);
    }
}

Test(ownInterfaceStop, requestThatIsReadWholeAfterTheEndOfTheDrainIsRefusedAsNotRun, .timeout = 60)
{
    StoppedSite stopped("{ notice: 200ms, time: 600ms }");
    QTcpSocket caller;
    caller.connectToHost("127.0.0.1", stopped.own.site.entry(0).port);
    cr_assert(caller.waitForConnected(1000));
    const std::string head
        = "POST /book-scripted HTTP/1.1\r\nHost: x\r\nX-Request-Id: late\r\nIdempotency-Key: late\r\n"
          "Authorization: Bearer "
        + std::string(apiKey) + "\r\nContent-Length: 2\r\n\r\n{";
    caller.write(head.data(), static_cast<qint64>(head.size()));
    runFor(100ms);
    stopped.entry().terminate();
    cr_assert(waitUntil([&] { return stopped.entry().printedLine("event=draining"); }, 5s));
    runFor(1100ms);
    caller.write("}");
    cr_assert(waitUntil([&] { return caller.state() == QAbstractSocket::UnconnectedState; }, 5s));
    const auto answer = caller.readAll().toStdString();
    cr_assert(answer.starts_with("HTTP/1.1 503 "), "%s", answer.c_str());
    cr_assert_neq(answer.find("Dragonfly-Execution: not-run"), std::string::npos, "%s", answer.c_str());
    cr_assert_eq(stopped.entry().waitForExit(2s), 0);
    cr_assert_eq(stopped.arrivalsOf("late"), 0);
}

Test(ownInterfaceStop, requestThatArrivesInTheDrainEndsWithIt, .timeout = 60)
{
    StoppedSite stopped("{ grace: 4s }");
    stopped.entry().terminate();
    runFor(1s);
    const auto signalled = Clock::now() - 1s;
    const std::vector<AnswerPointer> answers { stopped.send("POST", "/book-scripted", "booking"),
        stopped.send("GET", "/scripted", "reading"), stopped.complete("waiting", false) };
    cr_assert(waitForAll(answers, 10s));
    for (const auto& answer : answers) {
        cr_assert(answer->whole && (answer->status == 502 || answer->status == 504), "status %d", answer->status);
        cr_assert(answer->endedAt - signalled < 4s, "no answer within the grace period");
    }
    cr_assert_eq(stopped.entry().waitForExit(5s), 0);
}

// The HTTP client with answers that are delimited, interrupted or delayed in every way that a target can.

#include "http/ClientConnection.h"
#include "http/Http.h"
#include "tests/support/Process.h"
#include "tests/support/RawServer.h"

#include <QCoreApplication>
#include <QSocketNotifier>
#include <QTimer>
#include <array>
#include <atomic>
#include <boost/asio/buffer.hpp>
#include <criterion/criterion.h>
#include <netinet/in.h>
#include <optional>
#include <random>
#include <sstream>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace testing;
using namespace dragonfly;
using namespace std::chrono_literals;
using namespace std::string_view_literals;

namespace {

struct Outcome {
    bool ended = false;
    bool complete = false;
    int status = 0;
    bool endsWithConnection = false;
    std::string body;
    std::optional<http::CallFailure> failure;
};

/// Creates the event loop's application on the first call.
void ensureApplication()
{
    static int count = 0;
    static QCoreApplication application(count, nullptr);
}

/// What the caller does while it receives the answer.
struct Behaviour {
    std::chrono::milliseconds pause { 0 }; ///< reads nothing for this time after the head
    std::chrono::milliseconds block { 0 }; ///< stops the event loop for this time after the head
    std::chrono::milliseconds blockAtStart { 0 }; ///< stops the event loop for this time after the call was started
};

Outcome call(http::ClientPool& pool, const RawServer& server, std::chrono::milliseconds timeout = 1s,
    const Behaviour& behaviour = {})
{
    Outcome outcome;
    std::optional<http::Call> active;
    http::CallEvents events;
    events.onHead = [&](const http::ResponseHead& head) {
        outcome.status = head.status;
        outcome.endsWithConnection = head.endsWithConnection;
        std::this_thread::sleep_for(behaviour.block);
        if (behaviour.pause == 0ms)
            return;
        active->setPaused(true);
        QTimer::singleShot(behaviour.pause, &pool, [&] { active->setPaused(false); });
    };
    events.onBody = [&](std::string_view bytes) { outcome.body.append(bytes); };
    events.onComplete = [&] { outcome.ended = outcome.complete = true; };
    events.onFailure = [&](const http::CallFailure& failure) {
        outcome.ended = true;
        outcome.failure = failure;
    };
    const auto now = Clock::now();
    active = pool.send(server.address(), { "GET", "/", {}, {} }, { now + timeout, now + timeout }, events);
    std::this_thread::sleep_for(behaviour.blockAtStart);
    waitUntil([&] { return outcome.ended; }, timeout + 1s);
    return outcome;
}

Outcome call(const RawServer& server, std::chrono::milliseconds timeout = 1s, const Behaviour& behaviour = {})
{
    ensureApplication();
    http::ClientPool pool;
    return call(pool, server, timeout, behaviour);
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

namespace {

/// @p body after a head that delimits it in one of three ways, or that only the end of the connection delimits.
std::vector<std::string> framingsOf(const std::string& body)
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    std::ostringstream size;
    size << std::hex << body.size();
    return { head + "\r\n" + body, head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
        head + "Transfer-Encoding: chunked\r\n\r\n" + size.str() + "\r\n" + body + "\r\n0\r\n\r\n" };
}

}

Test(clientAnswer, pausedReaderGetsTheWholeAnswerAfterTheClose)
{
    constexpr size_t headBytes = 60; // the head and the first bytes of the body
    for (const size_t size : { 1000, 100000, 1000000 }) {
        const std::string body(size, 'x');
        for (const auto& bytes : framingsOf(body)) {
            const RawServer server({ { bytes.substr(0, headBytes), Ending::Close, 50ms, bytes.substr(headBytes) } });
            const auto outcome = call(server, 2s, { .pause = 200ms });
            cr_expect(outcome.complete, "%zu bytes: %s", size, bytes.substr(0, headBytes).c_str());
            cr_expect_eq(outcome.body.size(), size, "%zu of %zu bytes: %s", outcome.body.size(), size,
                bytes.substr(0, headBytes).c_str());
        }
    }
}

Test(clientAnswer, pausedReaderSeesTheReset)
{
    for (const size_t size : { 1000, 100000, 1000000 }) {
        const auto bytes = framingsOf(std::string(size, 'x')).front();
        const RawServer server({ { bytes.substr(0, 60), Ending::Reset, 50ms, bytes.substr(60) } });
        const auto outcome = call(server, 2s, { .pause = 200ms });
        cr_expect(outcome.ended);
        cr_expect_not(outcome.complete, "%zu bytes", size);
    }
}

Test(clientAnswer, pausedReaderSeesAnAnswerCutShort)
{
    for (const auto& bytes : framingsOf(std::string(1000, 'x'))) {
        if (bytes == framingsOf(std::string(1000, 'x')).front())
            continue; // nothing but a reset can cut this one short
        const RawServer server({ { bytes.substr(0, 80), Ending::Close, 50ms, bytes.substr(80, 500) } });
        const auto outcome = call(server, 2s, { .pause = 200ms });
        cr_expect(outcome.ended);
        cr_expect_not(outcome.complete, "%s", bytes.substr(0, 60).c_str());
    }
}

Test(clientAnswer, resetThatArrivesTogetherWithDataLeavesTheAnswerIncomplete)
{
    for (int i = 0; i < 20; ++i) {
        const RawServer server({ { answerWithoutLength, Ending::Reset, 5ms, " world" } });
        const auto outcome = call(server, 1s, { .block = 20ms });
        cr_assert(outcome.ended);
        cr_assert_not(outcome.complete);
    }
}

Test(clientAnswer, closeThatArrivesTogetherWithDataCompletesTheAnswer)
{
    for (int i = 0; i < 20; ++i) {
        const RawServer server({ { answerWithoutLength, Ending::Close, 5ms, " world" } });
        const auto outcome = call(server, 1s, { .block = 20ms });
        cr_assert(outcome.complete);
        cr_assert_eq(outcome.body, "hello world");
    }
}

Test(clientAnswer, withoutLengthOnReusedConnectionEndsWithItsClose)
{
    const std::string first = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    for (const auto ending : { Ending::Close, Ending::Reset }) {
        for (const auto delay : { 0ms, 50ms }) {
            const RawServer server({ { first, Ending::Reuse }, { first, Ending::Reuse },
                { answerWithoutLength, ending, delay, " world" } });
            ensureApplication();
            http::ClientPool pool;
            cr_assert(call(pool, server).complete);
            cr_assert(call(pool, server).complete);
            const auto outcome = call(pool, server);
            cr_assert(outcome.ended);
            cr_assert_eq(outcome.complete, ending == Ending::Close);
            if (outcome.complete)
                cr_assert_eq(outcome.body, "hello world");
        }
    }
}

namespace {

/// Two calls; the event loop does not run between them, while the first connection receives what @p afterFirst ends it
/// with. Returns the outcome of the second.
Outcome callAfterUnhandledInput(Ending afterFirst, const std::string& strayBytes)
{
    ensureApplication();
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
    const RawServer server(
        { { head + "first", afterFirst, 20ms, strayBytes }, { head + "other", Ending::Close, 0ms } });
    http::ClientPool pool;
    cr_assert(call(pool, server).complete);
    std::this_thread::sleep_for(60ms);
    return call(pool, server);
}

}

Test(clientAnswer, connectionThatWasClosedMeanwhileIsNotReused)
{
    for (const auto ending : { Ending::Close, Ending::Reset }) {
        const auto outcome = callAfterUnhandledInput(ending, "");
        cr_expect(outcome.complete, "%s", outcome.failure ? outcome.failure->detail.c_str() : "");
        cr_expect_eq(outcome.body, "other");
    }
}

Test(clientAnswer, lateSecondAnswerIsNotTakenByTheNextCall)
{
    const auto outcome = callAfterUnhandledInput(Ending::KeepOpen, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst");
    cr_expect(outcome.complete, "%s", outcome.failure ? outcome.failure->detail.c_str() : "");
    cr_expect_eq(outcome.body, "other", "%s", outcome.body.c_str());
}

Test(clientAnswer, bytesThatArriveBeforeTheRequestIsSentAreNotItsAnswer)
{
    ensureApplication();
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
    for (const auto& stray : { head + "first", head + "fi", std::string("HTTP/1.1 503 "), std::string("x") }) {
        const RawServer server({ { head + "first", Ending::KeepOpen, 40ms, stray } });
        http::ClientPool pool;
        cr_assert(call(pool, server).complete);
        const auto outcome = call(pool, server, 1s, { .blockAtStart = 80ms });
        cr_expect(outcome.failure.has_value(), "after \"%s\": answered %d \"%s\"", stray.c_str(), outcome.status,
            outcome.body.c_str());
        if (!outcome.failure)
            continue;
        cr_expect_eq(outcome.failure->kind, http::CallFailureKind::ConnectFailed);
        cr_expect_not(outcome.failure->requestSent, "%s", stray.c_str());
    }
}

namespace {

const std::string interimAnswer = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";

/// Every beginning of an answer that lacks at least its last byte, in each framing, alone and after an interim answer.
/// An answer without a length is cut short in its head only, since any beginning of its body is a whole one.
std::vector<std::pair<std::string, size_t>> beginningsOfAnswers()
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Name: value\r\n";
    std::vector<std::pair<std::string, size_t>> beginnings; // with the length of the head
    for (const auto& before : { std::string(), interimAnswer }) {
        for (const auto* rest : { "Content-Length: 5\r\n\r\nhello",
                 "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-Trailer: t\r\n\r\n", "\r\nhello" }) {
            const auto whole = before + head + rest;
            const auto headLength = whole.find("\r\n\r\n", before.size()) + 4;
            const auto last = std::string_view(rest).starts_with("\r\n") ? headLength : whole.size();
            for (size_t length = 0; length < last; ++length)
                beginnings.emplace_back(whole.substr(0, length), headLength);
        }
    }
    return beginnings;
}

/// Ends the connection after each of the beginnings, on a new connection or after @p kept whole answers on it.
void checkBeginnings(Ending ending, int kept)
{
    ensureApplication();
    const auto beginnings = beginningsOfAnswers();
    std::vector<RawAnswer> answers;
    for (size_t i = 0; i < beginnings.size(); ++i) {
        answers.insert(answers.end(), static_cast<size_t>(kept),
            { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", Ending::Reuse });
        answers.push_back({ beginnings[i].first, ending, std::chrono::milliseconds(i % 3) });
    }
    const RawServer server(answers);
    http::ClientPool pool;
    for (const auto& [beginning, headLength] : beginnings) {
        for (int i = 0; i < kept; ++i)
            cr_assert(call(pool, server).complete);
        const auto outcome = call(pool, server);
        cr_expect(outcome.failure.has_value(), "complete: \"%s\"", beginning.c_str());
        if (!outcome.failure)
            continue;
        cr_expect_eq(outcome.failure->kind, http::CallFailureKind::Closed, "%s", beginning.c_str());
        cr_expect(outcome.failure->requestSent);
        if (beginning.size() < headLength)
            cr_expect(!outcome.status && outcome.body.empty(), "a head in \"%s\"", beginning.c_str());
    }
}

}

Test(clientAnswer, answerCutShortByACloseIsIncompleteWhereverItIsCut, .timeout = 60)
{
    checkBeginnings(Ending::Close, 0);
    checkBeginnings(Ending::Close, 1);
}

Test(clientAnswer, answerCutShortByAResetIsIncompleteWhereverItIsCut, .timeout = 60)
{
    checkBeginnings(Ending::Reset, 0);
    checkBeginnings(Ending::Reset, 1);
}

Test(clientAnswer, requestIsNotWrittenIfItsUserDecidesSoBeforeItsFirstByte)
{
    ensureApplication();
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    for (const bool isReused : { false, true }) {
        const RawServer server({ { answer, Ending::Reuse }, { answer, Ending::Close } });
        http::ClientPool pool;
        if (isReused)
            require(call(pool, server).complete, "no connection to reuse");
        bool mayWrite = true;
        std::optional<http::CallFailure> failure;
        http::CallEvents events;
        events.mayWrite = [&] { return mayWrite; };
        events.onComplete = [] { cr_assert_fail("the request was sent"); };
        events.onFailure = [&](const http::CallFailure& failed) { failure = failed; };
        const auto now = Clock::now();
        pool.send(server.address(), { "GET", "/", {}, {} }, { now + 1s, now + 1s }, events);
        mayWrite = false;
        require(waitUntil([&] { return failure.has_value(); }, 2s), "the call did not end");
        cr_assert(failure->kind == http::CallFailureKind::Withheld);
        cr_assert_not(failure->requestSent);
    }
}

namespace {

/// A target that reads an upload, answers in the midst of it and resets the connection, each when it is told to.
class ResettingTarget {
public:
    explicit ResettingTarget(std::string answer)
        : listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(address);
        require(!::bind(this->listener, reinterpret_cast<sockaddr*>(&address), length) && !::listen(this->listener, 1)
                && !::getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &length),
            "the target cannot listen");
        this->endpoint = { "127.0.0.1", ntohs(address.sin_port) };
        this->thread = std::jthread([this, text = std::move(answer)] { this->run(text); });
    }
    ~ResettingTarget()
    {
        this->mayAnswer = this->mayReset = true;
        this->thread.join();
        ::close(this->listener);
    }

    Endpoint endpoint;
    std::atomic<size_t> received = 0;
    std::atomic<bool> mayAnswer = false;
    std::atomic<bool> mayReset = false;
    std::atomic<bool> hasReset = false;
    std::atomic<bool> hasEnded = false; ///< the caller closed the connection

private:
    void run(const std::string& answer)
    {
        const int connection = ::accept(this->listener, nullptr, nullptr);
        this->readUntil(connection, this->mayAnswer);
        ::send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
        this->readUntil(connection, this->mayReset);
        const linger immediately { 1, 0 };
        ::setsockopt(connection, SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
        ::close(connection);
        this->hasReset = true;
    }

    void readUntil(int connection, const std::atomic<bool>& isTold)
    {
        std::array<char, 16 << 10> bytes {};
        while (!isTold) {
            const auto count = ::recv(connection, bytes.data(), bytes.size(), MSG_DONTWAIT);
            this->received += count > 0 ? static_cast<size_t>(count) : 0;
            const bool isEnd = !count || (count < 0 && errno != EAGAIN);
            this->hasEnded = this->hasEnded || isEnd;
        }
    }

    int listener;
    std::jthread thread;
};

enum class AnswerRead {
    BeforeTheReset,
    AfterTheReset,
};

/// Calls a target that answers in the midst of an upload and resets the connection. The event loop is kept from turning
/// while the target does the last of it, at a time when it has found that more of the request can be written, so that
/// in most cases a write is the first to meet the reset.
Outcome callWithUploadThatMeetsAReset(const std::string& answer, AnswerRead read)
{
    ensureApplication();
    constexpr size_t uploadBytes = 64u << 20;
    constexpr size_t bytesBeforeTheAnswer = 4u << 20;
    ResettingTarget target(answer);
    Outcome outcome;
    int ends[2];
    require(!::pipe(ends) && ::write(ends[1], "x", 1) == 1, "no pipe");
    QSocketNotifier alwaysReady(ends[0], QSocketNotifier::Read);
    QObject::connect(&alwaysReady, &QSocketNotifier::activated, [&] {
        if (target.received < bytesBeforeTheAnswer || target.hasReset)
            return;
        target.mayAnswer = true;
        if (read == AnswerRead::BeforeTheReset && outcome.body.empty())
            return;
        target.mayReset = true;
        while (!target.hasReset)
            std::this_thread::yield();
    });
    http::ClientPool pool;
    http::CallEvents events;
    events.onHead = [&](const http::ResponseHead& head) { outcome.status = head.status; };
    events.onBody = [&](std::string_view bytes) { outcome.body.append(bytes); };
    events.onComplete = [&] { outcome.ended = outcome.complete = true; };
    events.onFailure = [&](const http::CallFailure& failure) {
        outcome.ended = true;
        outcome.failure = failure;
    };
    const auto now = Clock::now();
    pool.send(target.endpoint, { "POST", "/", {}, std::string(uploadBytes, 'u') }, { now + 5s, now + 5s }, events);
    waitUntil([&] { return outcome.ended; }, 6s);
    ::close(ends[0]);
    ::close(ends[1]);
    return outcome;
}

constexpr int uploads = 20;
constexpr const char* refusalOfAnUpload = "HTTP/1.1 413 Too Large\r\nContent-Length: 5\r\n\r\nhello";

}

// A part of an answer without a length was passed on as whole when a write of the request was the first to meet the
// reset.
Test(clientAnswer, withoutLengthIsIncompleteWhenAWriteOfTheRequestMeetsTheReset, .timeout = 120)
{
    for (int i = 0; i < uploads; ++i) {
        const auto outcome = callWithUploadThatMeetsAReset(answerWithoutLength, AnswerRead::BeforeTheReset);
        cr_assert(outcome.ended);
        cr_assert_eq(outcome.body, "hello");
        cr_expect_not(outcome.complete, "upload %d", i);
    }
}

// A whole answer was lost when a write of the request met the reset after it before the answer was read.
Test(clientAnswer, withLengthIsWholeWhenAWriteOfTheRequestMeetsTheResetAfterIt, .timeout = 120)
{
    for (int i = 0; i < uploads; ++i) {
        const auto outcome = callWithUploadThatMeetsAReset(refusalOfAnUpload, AnswerRead::AfterTheReset);
        cr_assert(outcome.ended);
        cr_expect(outcome.complete, "upload %d: %s", i, outcome.failure ? outcome.failure->detail.c_str() : "");
        cr_expect_eq(outcome.body, "hello");
    }
}

// The next request waited behind the rest of an upload whose answer was whole.
Test(clientAnswer, connectionIsClosedIfItsAnswerIsWholeBeforeItsRequestIsWritten, .timeout = 30)
{
    ensureApplication();
    ResettingTarget target(refusalOfAnUpload);
    http::ClientPool pool;
    bool isComplete = false;
    http::CallEvents events;
    events.onComplete = [&] { isComplete = true; };
    events.onFailure = [](const http::CallFailure& failure) { cr_assert_fail("%s", failure.detail.c_str()); };
    const auto now = Clock::now();
    const std::string upload(256u << 20, 'u');
    pool.send(target.endpoint, { "POST", "/", {}, upload }, { now + 5s, now + 5s }, events);
    require(waitUntil([&] { return target.received > 0; }, 5s), "no upload");
    target.mayAnswer = true;
    cr_assert(waitUntil([&] { return isComplete; }, 5s));
    cr_assert(waitUntil([&] { return target.hasEnded.load(); }, 1s));
    cr_assert_lt(target.received, upload.size());
}

// Heads with such a status, or with a coding that hides the end of the body, were passed on as answers.
Test(clientAnswer, headThatIsNoAnswerFailsAsMalformed, .timeout = 60)
{
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    for (const auto* status : { "000", "001", "099", "101", "600", "700", "999" }) {
        const auto line = "HTTP/1.1 " + std::string(status) + " Status\r\n";
        for (const auto& bytes : { line + "\r\nok", line + "Content-Length: 2\r\n\r\nok", line + "\r\n" + answer,
                 "HTTP/1.1 100 Continue\r\n\r\n" + line + "Content-Length: 2\r\n\r\nok" }) {
            const RawServer server({ { bytes, Ending::Close } });
            const auto outcome = call(server);
            cr_expect(
                outcome.failure && outcome.failure->kind == http::CallFailureKind::Malformed, "%s", bytes.c_str());
            cr_expect_eq(outcome.status, 0, "%s", bytes.c_str());
        }
    }
    const std::string head = "HTTP/1.1 200 OK\r\n";
    for (const auto* fields : { "Transfer-Encoding: gzip\r\n", "Transfer-Encoding: gzip\r\nContent-Length: 2\r\n",
             "Transfer-Encoding: gzip, chunked\r\n", "Transfer-Encoding: chunked, gzip\r\n", "Transfer-Encoding: \r\n",
             "Transfer-Encoding: identity\r\n", "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n" }) {
        const RawServer server({ { head + fields + "\r\nok", Ending::Close } });
        const auto outcome = call(server);
        cr_expect(outcome.failure.has_value() && !outcome.complete, "%s", fields);
        cr_expect_eq(outcome.status, 0, "%s", fields);
    }
}

namespace {

bool isToken(std::string_view text)
{
    return !text.empty() && std::ranges::all_of(text, [](unsigned char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
            || (c && std::string_view("!#$%&'*+-.^_`|~").find(static_cast<char>(c)) != std::string_view::npos);
    });
}

bool isText(std::string_view text)
{
    return std::ranges::all_of(text, [](unsigned char c) { return c == '\t' || (c >= ' ' && c != 127); });
}

/// Whether RFC 9110 and 9112 allow @p head as that of an answer of HTTP/1, its last empty line included. Written apart
/// from the parser.
bool isHeadOfAnAnswer(std::string_view head)
{
    std::vector<std::string_view> lines;
    for (size_t at = 0; at < head.size();) {
        const auto end = head.find("\r\n", at);
        if (end == std::string_view::npos)
            return false;
        lines.push_back(head.substr(at, end - at));
        at = end + 2;
    }
    if (lines.size() < 2 || !lines.back().empty())
        return false;
    const auto status = lines.front();
    const auto isDigit = [&](size_t at) { return status[at] >= '0' && status[at] <= '9'; };
    const bool isLine = status.size() >= 12 && (status.starts_with("HTTP/1.1 ") || status.starts_with("HTTP/1.0 "))
        && isDigit(9) && isDigit(10) && isDigit(11) && (status.size() == 12 || status[12] == ' ') && isText(status);
    if (!isLine || status[9] < '1' || status[9] > '5' || status.substr(9, 3) == "101")
        return false;
    for (size_t i = 1; i + 1 < lines.size(); ++i) {
        const auto line = lines[i];
        if (i > 1 && (line.starts_with(' ') || line.starts_with('\t'))) {
            if (!isText(line))
                return false;
            continue; // a value on several lines
        }
        const auto colon = line.find(':');
        if (colon == std::string_view::npos || !isToken(line.substr(0, colon)) || !isText(line.substr(colon + 1)))
            return false;
    }
    return true;
}

/// Whether the client takes @p head for one of an answer.
bool isTaken(const std::string& head)
{
    http::internal::ResponseParser parser;
    boost::beast::error_code failure;
    auto rest = head;
    while (!rest.empty() && !parser.headComplete) {
        const auto used = parser.put(boost::asio::buffer(rest), failure);
        rest.erase(0, used);
        if (failure || !used)
            break;
    }
    return parser.headComplete && (!failure || failure == boost::beast::http::error::need_more)
        && !http::internal::problemOf(parser);
}

const std::string soundHead = "HTTP/1.1 200 OK\r\nX-Name: a value\r\nX-Other: b\r\nContent-Length: 5\r\n\r\n";

}

// An answer in whose head the name of a field held a blank or a control byte reached the client.
Test(clientAnswer, headWithAnyOneByteChangedIsTakenOnlyIfItIsAnAnswer)
{
    cr_assert(isTaken(soundHead) && isHeadOfAnAnswer(soundHead));
    int taken = 0;
    for (size_t at = 0; at < soundHead.size(); ++at) {
        for (int value = 0; value < 256; ++value) {
            for (const bool isInserted : { false, true }) {
                auto head = soundHead;
                if (isInserted)
                    head.insert(at, 1, static_cast<char>(value));
                else
                    head[at] = static_cast<char>(value);
                if (!isTaken(head))
                    continue;
                ++taken;
                // The head may end earlier than the bytes.
                cr_expect(isHeadOfAnAnswer(head.substr(0, head.find("\r\n\r\n") + 4)), "byte %d at %zu%s", value, at,
                    isInserted ? ", inserted" : "");
            }
        }
    }
    cr_expect_gt(taken, 1000, "names and values may hold most bytes");
}

Test(clientAnswer, headWithSeveralBytesChangedIsTakenOnlyIfItIsAnAnswer)
{
    constexpr std::string_view bytes = "\0\t\r\n :;,\x01\x1f\x7f\x80\xff"
                                       "0129aZ-_"sv;
    for (uint32_t seed = 1; seed <= 20000; ++seed) {
        std::mt19937 random(seed);
        const auto below
            = [&random](size_t bound) { return std::uniform_int_distribution<size_t>(0, bound - 1)(random); };
        auto head = soundHead;
        for (auto changes = 1 + below(4); changes; --changes) {
            const auto at = below(head.size());
            switch (below(3)) {
            case 0:
                head[at] = bytes[below(bytes.size())];
                break;
            case 1:
                head.insert(at, 1, bytes[below(bytes.size())]);
                break;
            default:
                head.erase(at, 1 + below(3));
            }
        }
        if (isTaken(head))
            cr_expect(isHeadOfAnAnswer(head.substr(0, head.find("\r\n\r\n") + 4)), "seed %u", seed);
    }
}

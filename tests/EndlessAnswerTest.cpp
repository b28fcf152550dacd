// Targets that send bytes without end, in every part of an answer.

#include "http/Http.h"
#include "tests/support/EndlessTarget.h"
#include "tests/support/RawServer.h"

#include <QCoreApplication>
#include <criterion/criterion.h>
#include <optional>

using namespace testing;
using namespace dragonfly;
using namespace std::chrono_literals;

namespace {

/// What the client may take of an answer beyond its limit of 32 KiB for a head: one read, and the system's buffers.
constexpr size_t maxTakenBytes = 8u << 20;

const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

struct Ended {
    bool isComplete = false;
    std::optional<http::CallFailure> failure;
    size_t bodyBytes = 0;
};

Ended call(const Endpoint& target)
{
    static int count = 0;
    static QCoreApplication application(count, nullptr);
    http::ClientPool pool;
    Ended ended;
    http::CallEvents events;
    events.onBody = [&](std::string_view bytes) { ended.bodyBytes += bytes.size(); };
    events.onComplete = [&] { ended.isComplete = true; };
    events.onFailure = [&](const http::CallFailure& failure) { ended.failure = failure; };
    const auto deadline = Clock::now() + 5s;
    pool.send(target, { "GET", "/", {}, {} }, { deadline, deadline }, events);
    waitUntil([&] { return ended.isComplete || ended.failure; }, 6s);
    return ended;
}

void checkIsMalformed(const char* name, const EndlessAnswer& answer)
{
    const EndlessTarget target([&](const std::string&) { return answer; });
    const auto ended = call(target.address());
    cr_expect(ended.failure.has_value(), "%s: the call did not fail", name);
    if (!ended.failure)
        return;
    cr_expect_eq(ended.failure->kind, http::CallFailureKind::Malformed, "%s: %s", name, ended.failure->detail.c_str());
    cr_expect(waitUntil([&] { return !target.sending(); }, 2s), "%s: the connection is still open", name);
    cr_expect_lt(target.mostBytes(), maxTakenBytes, "%s: %zu bytes taken", name, target.mostBytes());
}

}

Test(endlessAnswer, chunkHeaderWithoutEndFailsTheCall, .timeout = 60)
{
    checkIsMalformed("extension", { chunkedHead + "5;name=", "x" });
    checkIsMalformed("extension of a later chunk", { chunkedHead + "5\r\nhello\r\n5;name=", "x" });
    checkIsMalformed("extension of the last chunk", { chunkedHead + "0;name=", "x" });
    checkIsMalformed("extensions", { chunkedHead + "5", ";name=x" });
    checkIsMalformed("digits of a size", { chunkedHead, "0" });
}

Test(endlessAnswer, trailersWithoutEndFailTheCall, .timeout = 60)
{
    checkIsMalformed("trailers", { chunkedHead + "5\r\nhello\r\n0\r\n", "X-Name: value\r\n" });
    checkIsMalformed("one trailer", { chunkedHead + "5\r\nhello\r\n0\r\nX-Name: ", "x" });
}

Test(endlessAnswer, headWithoutEndFailsTheCall, .timeout = 60)
{
    checkIsMalformed("status line", { "HTTP/1.1 200 ", "O" });
    checkIsMalformed("field", { "HTTP/1.1 200 OK\r\nX-Name: ", "x" });
    checkIsMalformed("fields", { "HTTP/1.1 200 OK\r\n", "X-Name: value\r\n" });
    checkIsMalformed("interim answers", { "", "HTTP/1.1 100 Continue\r\n\r\n" });
    checkIsMalformed("fields of an interim answer", { "HTTP/1.1 103 Early Hints\r\n", "X-Name: value\r\n" });
    checkIsMalformed("no HTTP", { "", "x" });
    checkIsMalformed("empty lines", { "", "\r\n" });
}

Test(endlessAnswer, chunkHeadersAndTrailersOfAnOrdinarySizePass)
{
    const std::string trailers = "X-First: " + std::string(8000, 'a') + "\r\nX-Second: " + std::string(8000, 'b');
    const std::string whole
        = chunkedHead + "5;name=" + std::string(8000, 'c') + "\r\nhello\r\n0\r\n" + trailers + "\r\n\r\n";
    const auto split = whole.size() - 100;
    const RawServer server({ { whole.substr(0, split), Ending::Close, 50ms, whole.substr(split) } });
    const auto ended = call(server.address());
    cr_assert(ended.isComplete, "%s", ended.failure ? ended.failure->detail.c_str() : "");
    cr_assert_eq(ended.bodyBytes, 5u);
}

// Callers that leave before their answer: within half a second nothing of their requests is open at a target, and none
// is sent any more.

#include "tests/support/ForwardSite.h"
#include "tests/support/RawCaller.h"
#include "tests/support/ScriptedTarget.h"

#include <criterion/criterion.h>

using namespace testing;
using namespace dragonfly;
using namespace std::chrono_literals;

namespace {

constexpr auto withdrawalTime = 500ms; ///< by then nothing is open for a caller that has left
constexpr auto patience = 5s;

/// How a caller leaves.
enum class Leaving {
    Close,
    Reset,
    EndSending,
};

constexpr Leaving allWays[] = { Leaving::Close, Leaving::Reset, Leaving::EndSending };

std::string requestText(const std::string& id, const std::string& path, size_t bodyBytes = 4)
{
    std::string text = "POST " + path + " HTTP/1.1\r\nHost: site.example\r\nX-Dragonflyarch-Attempt-Id: " + id
        + "\r\nX-Dragonflyarch-Deadline-Ms: 5000\r\nAuthorization: Bearer " + forwardKey + "\r\n";
    if (path.starts_with("/ask/") || path.starts_with("/once/"))
        text += "X-Dragonflyarch-Model: m\r\nX-Dragonflyarch-Token-Usage: 300,10\r\n"
                "X-Dragonflyarch-Prompt-Prefix: aa:200,bb:100\r\n";
    return text + "Content-Length: " + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(bodyBytes, 'x');
}

void leave(RawCaller& caller, Leaving way)
{
    switch (way) {
    case Leaving::Close:
        caller.close();
        break;
    case Leaving::Reset:
        caller.reset();
        break;
    case Leaving::EndSending:
        caller.endSending();
        break;
    }
}

void setAll(const std::vector<std::unique_ptr<Process>>& targets, const QJsonObject& order)
{
    for (const auto& target : targets)
        control(target->address(), order);
}

int sum(const std::vector<std::unique_ptr<Process>>& targets, const char* field)
{
    int total = 0;
    for (const auto& target : targets)
        total += control(target->address())[QLatin1String(field)].toInt();
    return total;
}

int arrivals(const std::vector<std::unique_ptr<Process>>& targets)
{
    int total = 0;
    for (const auto& target : targets)
        total += static_cast<int>(control(target->address())["arrivals"].toArray().size());
    return total;
}

/// Waits until @p entry knows that @p count targets are draining.
void waitUntilDraining(Process& entry, size_t count)
{
    const auto areDraining = [&] {
        const auto status = get(entry.address("admin"), "/status");
        require(waitFor(status), "no status");
        size_t draining = 0;
        for (const auto& target : status->json()["targets"].toArray())
            draining += target.toObject()["draining"].toBool();
        return draining == count;
    };
    require(waitUntil(areDraining, patience), "the targets are not known to be draining");
}

std::string refusal(const std::string& id)
{
    return "HTTP/1.1 503 Service Unavailable\r\nX-Dragonflyarch-Attempt-Id: " + id
        + "\r\nX-Dragonflyarch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

std::string success(const std::string& id)
{
    return "HTTP/1.1 200 OK\r\nX-Dragonflyarch-Attempt-Id: " + id + "\r\nX-Dragonflyarch-Response-Stamp: s-" + id
        + "\r\nContent-Length: 2\r\n\r\nok";
}

/// A target whose system takes no connection until admit().
class LateTarget {
public:
    /// @param receiveBufferBytes size of the system's receive buffers; 0 for the default
    explicit LateTarget(int receiveBufferBytes = 0)
        : listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0))
    {
        if (receiveBufferBytes)
            setsockopt(this->listener, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof(receiveBufferBytes));
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bind(this->listener, reinterpret_cast<sockaddr*>(&address), sizeof(address));
        listen(this->listener, 0);
        socklen_t length = sizeof(address);
        getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &length);
        this->endpoint = { "127.0.0.1", ntohs(address.sin_port) };
        this->queued = std::make_unique<RawCaller>(this->endpoint);
    }
    ~LateTarget()
    {
        ::close(this->listener);
    }
    LateTarget(const LateTarget&) = delete;
    LateTarget& operator=(const LateTarget&) = delete;

    void admit()
    {
        ::close(accept(this->listener, nullptr, nullptr));
        this->queued.reset();
        listen(this->listener, SOMAXCONN);
    }
    /// What arrives on the next connection within some time; nullopt if there is no connection.
    std::optional<std::string> receive() const
    {
        const int connection = accept(this->listener, nullptr, nullptr);
        if (connection < 0)
            return std::nullopt;
        std::string received;
        bool ended = false;
        waitUntil(
            [&] {
                char bytes[4096];
                const auto count = recv(connection, bytes, sizeof(bytes), MSG_DONTWAIT);
                if (count > 0)
                    received.append(bytes, static_cast<size_t>(count));
                ended = count == 0 || (count < 0 && errno != EAGAIN);
                return ended;
            },
            1s);
        ::close(connection);
        return received;
    }

    Endpoint endpoint;

private:
    int listener;
    std::unique_ptr<RawCaller> queued; ///< fills the queue of the listening socket
};

/// A site whose plain service consists of targets in the test, which answer the first arrival of a request with a
/// refusal after a delay and further ones with success.
struct RefusingSite {
    Application application;
    ForwardSite site;
    std::map<std::string, int> arrivals; ///< by request id
    std::chrono::milliseconds delay { 0 };
    std::vector<std::unique_ptr<ScriptedTarget>> targets;

    RefusingSite()
    {
        for (int i = 0; i < 3; ++i) {
            this->targets.push_back(std::make_unique<ScriptedTarget>(
                "X-Dragonflyarch-Attempt-Id", [this](const ScriptedRequest& request, QTcpSocket& socket) {
                    const bool isFirst = ++this->arrivals[request.id] == 1;
                    ScriptedTarget::writeLater(
                        socket, isFirst ? this->delay : 0ms, isFirst ? refusal(request.id) : success(request.id));
                }));
            this->site.registerTarget("scripted-" + QString::number(i), "desk", "", this->targets.back()->address());
        }
        setAll(this->site.services, { { "draining", true } });
        this->site.publish({ forwardKey }, 5000, 2000);
        this->site.startEntry();
        runFor(200ms);
    }
};

}

Test(callerGone, openAttemptsEndHoweverTheCallerLeaves, .timeout = 120)
{
    const Application application;
    ForwardSite site;
    site.publish({ forwardKey }, 5000, 2000);
    auto& entry = site.startEntry();
    setAll(site.services, { { "answer", "silent" } });
    setAll(site.engines, { { "event_ms", 100 }, { "events", 100 } });
    int engineCalls = 0;
    int serviceCalls = 0;
    for (const auto way : allWays) {
        for (const auto* path : { "/read/x", "/open/x", "/ask/x", "/once/x" }) {
            const bool isStream = path[1] == 'a' || path[2] == 'n';
            const auto& targets = isStream ? site.engines : site.services;
            auto& calls = isStream ? engineCalls : serviceCalls;
            RawCaller caller(entry.address());
            cr_assert(caller.send(requestText("g" + std::to_string(static_cast<int>(way)) + path, path)));
            cr_assert(waitUntil([&] { return sum(targets, "runs") > calls; }, patience), "%s", path);
            ++calls;
            if (isStream)
                cr_assert(caller.receiveUntil("id: 1\n"));
            leave(caller, way);
            cr_expect(waitUntil([&] { return sum(targets, "cancelled") == calls; }, withdrawalTime), "%s, %d", path,
                static_cast<int>(way));
        }
    }
}

Test(callerGone, streamEndsWhenACallerLeavesThatHasNotReadIt, .timeout = 60)
{
    const Application application;
    ForwardSite site;
    site.publish({ forwardKey }, 20000, 2000);
    auto& entry = site.startEntry();
    setAll(site.engines, { { "event_ms", 0 }, { "events", 2000000 } });
    for (const auto way : { Leaving::Close, Leaving::Reset }) {
        const auto closes = [&] {
            qsizetype count = 0;
            for (const auto& engine : site.engines)
                count += control(engine->address())["stream_closes"].toArray().size();
            return count;
        };
        const auto before = closes();
        RawCaller caller(entry.address(), 4 << 10);
        std::string request = requestText("unread" + std::to_string(static_cast<int>(way)), "/once/x");
        request.replace(request.find("5000"), 4, "15000");
        cr_assert(caller.send(request));
        runFor(3s); // what the sockets hold fills up
        leave(caller, way);
        cr_expect(waitUntil([&] { return closes() == before + 1; }, withdrawalTime), "%d", static_cast<int>(way));
    }
}

Test(callerGone, attemptEndsThoughTheCallerHasSentMoreThanIsReadMeanwhile, .timeout = 60)
{
    const Application application;
    ForwardSite site;
    site.publish({ forwardKey }, 5000, 2000);
    auto& entry = site.startEntry();
    setAll(site.services, { { "answer", "silent" } });
    int calls = 0;
    for (const auto way : { Leaving::Close, Leaving::Reset }) {
        RawCaller caller(entry.address());
        cr_assert(caller.send(requestText("p" + std::to_string(calls), "/read/x")));
        cr_assert(waitUntil([&] { return sum(site.services, "runs") > calls; }, patience));
        ++calls;
        for (int i = 0; i < 5; ++i) {
            cr_assert(caller.send(requestText("behind", "/read/x", 80000)));
            runFor(50ms);
        }
        leave(caller, way);
        cr_expect(waitUntil([&] { return sum(site.services, "cancelled") == calls; }, withdrawalTime), "%d",
            static_cast<int>(way));
        cr_assert(waitUntil([&] { return sum(site.services, "cancelled") == calls; }, patience));
    }
}

Test(callerGone, refusedRequestIsNotSentToAnotherTargetAfterItsCallerHasLeft, .timeout = 60)
{
    RefusingSite refusing;
    refusing.delay = 900ms;
    for (const auto* path : { "/book/x", "/read/x" }) {
        RawCaller caller(refusing.site.entries[0]->address());
        cr_assert(caller.send(requestText(path, path)));
        cr_assert(waitUntil([&] { return refusing.arrivals[path] == 1; }, patience));
        caller.close();
        runFor(1500ms);
        cr_expect_eq(refusing.arrivals[path], 1, "%s: sent again after the caller had left", path);
    }
}

Test(callerGone, requestThatIsReadAfterItsCallerHasLeftIsNotSent, .timeout = 60)
{
    const Application application;
    ForwardSite site;
    auto& entry = site.startEntry();
    for (const auto* path : { "/read/x", "/book/x", "/ask/x", "/once/x" })
        cr_assert_eq(site.sendAndWait({ std::string("warm") + path, path })->status, 200);
    const auto before = arrivals(site.services) + arrivals(site.engines);
    for (const auto way : allWays) {
        entry.freeze();
        for (const auto* path : { "/read/x", "/book/x", "/ask/x", "/once/x" }) {
            RawCaller caller(entry.address());
            cr_assert(caller.send(requestText("late" + std::to_string(static_cast<int>(way)) + path, path)));
            leave(caller, way);
            runFor(10ms);
        }
        runFor(600ms);
        entry.thaw();
        runFor(500ms);
        cr_expect_eq(arrivals(site.services) + arrivals(site.engines), before, "%d", static_cast<int>(way));
    }
}

Test(callerGone, pipelinedRequestIsNotSentAfterItsCallerHasLeft, .timeout = 60)
{
    const Application application;
    ForwardSite site;
    auto& entry = site.startEntry();
    setAll(site.services, { { "work_ms", 300 } });
    RawCaller caller(entry.address());
    cr_assert(caller.send(requestText("front", "/book/x") + requestText("behind", "/read/x")));
    cr_assert(waitUntil([&] { return arrivals(site.services) == 1; }, patience));
    caller.close();
    runFor(1s);
    cr_assert_eq(arrivals(site.services), 1);
}

Test(callerGone, backupIsNotSentAfterTheCallerHasLeftWhileTheInstanceWasStopped, .timeout = 60)
{
    const Application application;
    ForwardSite site;
    site.publish({ forwardKey }, 5000, 200);
    auto& entry = site.startEntry();
    setAll(site.services, { { "answer", "silent" } });
    setAll(site.engines, { { "event_ms", 3000 }, { "events", 3 } });
    RawCaller reader(entry.address());
    RawCaller asker(entry.address());
    cr_assert(reader.send(requestText("r", "/read/x")));
    cr_assert(asker.send(requestText("a", "/ask/x")));
    cr_assert(asker.receiveUntil("id: 1\n"));
    cr_assert(waitUntil([&] { return sum(site.services, "runs") == 1; }, 300ms));
    entry.freeze();
    reader.close();
    asker.close();
    runFor(1s); // a backup is due
    entry.thaw();
    runFor(500ms);
    cr_expect_eq(arrivals(site.services), 1);
    cr_expect_eq(arrivals(site.engines), 1);
    cr_expect_eq(sum(site.services, "cancelled"), 1);
}

Test(callerGone, connectionThatOpensAfterTheCallerHasLeftCarriesNoRequest, .timeout = 60)
{
    const Application application;
    LateTarget target;
    ForwardSite site;
    site.publish({ forwardKey }, 5000, 2000);
    site.registerTarget("late", "desk", "", target.endpoint);
    auto& entry = site.startEntry();
    setAll(site.services, { { "draining", true } });
    waitUntilDraining(entry, site.services.size());
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (const auto* path : { "/read/x", "/book/x" }) {
        callers.push_back(std::make_unique<RawCaller>(entry.address()));
        cr_assert(callers.back()->send(requestText(path, path)));
    }
    runFor(100ms);
    entry.freeze();
    callers.clear();
    target.admit();
    runFor(1500ms); // the system tries again to connect after a second
    entry.thaw();
    runFor(300ms);
    int connections = 0;
    while (const auto received = target.receive()) {
        ++connections;
        cr_expect(received->empty(), "%s", received->c_str());
    }
    cr_assert_gt(connections, 0);
}

Test(callerGone, requestThatATargetHasNotTakenFromItsConnectionDoesNotArriveWhole, .timeout = 60)
{
    constexpr size_t bodyBytes = 60000;
    const Application application;
    LateTarget target(4 << 10);
    target.admit();
    ForwardSite site;
    site.publish({ forwardKey }, 5000, 2000);
    site.registerTarget("late", "desk", "", target.endpoint);
    auto& entry = site.startEntry();
    setAll(site.services, { { "draining", true } });
    waitUntilDraining(entry, site.services.size());
    RawCaller caller(entry.address());
    cr_assert(caller.send(requestText("r", "/read/x", bodyBytes)));
    runFor(200ms);
    caller.close();
    runFor(withdrawalTime);
    const auto received = target.receive();
    cr_assert(received);
    cr_assert_not(received->empty());
    cr_assert_lt(received->size(), bodyBytes);
}

Test(callerGone, logSaysWhetherTheRequestOfACallerWhoLeftMayHaveRun, .timeout = 60)
{
    const Application application;
    ForwardSite site;
    site.publish({ forwardKey }, 5000, 2000);
    auto& entry = site.startEntry();
    setAll(site.services, { { "answer", "silent" } });
    RawCaller sent(entry.address());
    cr_assert(sent.send(requestText("sent", "/read/x")));
    cr_assert(waitUntil([&] { return sum(site.services, "runs") == 1; }, patience));
    sent.close();
    entry.freeze();
    RawCaller unsent(entry.address());
    cr_assert(unsent.send(requestText("unsent", "/read/x")));
    unsent.close();
    runFor(100ms);
    entry.thaw();
    for (const auto* id : { "sent", "unsent" }) {
        const auto part = "request=" + std::string(id) + " ";
        cr_assert(waitUntil([&] { return entry.printedLine(part); }, patience));
        const auto line = entry.findLine(part);
        const auto* execution = std::string_view(id) == "sent" ? "execution=unknown" : "execution=not-run";
        cr_expect_neq(line.find(execution), std::string::npos, "%s", line.c_str());
    }
}

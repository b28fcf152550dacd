// The path on which an instance reaches each target, and the tunnels through other instances.

#include "paths/TargetPaths.h"
#include "http/Http.h"
#include "paths/Tunnel.h"
#include "tests/support/Process.h"
#include "tests/support/RawServer.h"
#include "tests/support/Site.h"

#include <QTcpSocket>
#include <QTimer>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <criterion/criterion.h>
#include <csignal>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

using namespace testing;
using namespace dragonfly;
using namespace dragonfly::paths;
using namespace std::chrono_literals;

namespace {

const Endpoint first { "10.0.0.1", 80 };
const Endpoint second { "10.0.0.2", 80 };
const Endpoint nearPeer { "10.1.0.1", 7000 };
const Endpoint farPeer { "10.1.0.2", 7000 };

struct Paths {
    Application application;
    TargetPaths paths;
    std::set<std::string> silent;
    std::vector<Endpoint> known { first, second, { "10.0.0.3", 80 }, { "10.0.0.4", 80 }, { "10.0.0.5", 80 } };

    Paths()
    {
        this->paths.silentTargets = [this](Clock::time_point) { return this->silent; };
        this->paths.targets = [this] { return this->known; };
        this->paths.peers = [] { return std::vector { nearPeer, farPeer }; };
    }
};

/// What a call through a tunnel ended with.
struct Outcome {
    bool isEnded = false;
    std::optional<http::CallFailure> failure;
    std::string body;
};

/// Sends a request through a tunnel at @p via and waits for its end.
Outcome callThrough(const Endpoint& target, const Endpoint& via, const http::Request& request = { "GET", "/", {}, "" })
{
    http::ClientPool pool;
    Outcome outcome;
    http::CallOptions options { Clock::now() + 2s, Clock::now() + 5s };
    options.via = via;
    http::CallEvents events;
    events.onBody = [&](std::string_view bytes) { outcome.body += bytes; };
    events.onComplete = [&] { outcome.isEnded = true; };
    events.onFailure = [&](const http::CallFailure& failure) {
        outcome.isEnded = true;
        outcome.failure = failure;
    };
    pool.send(target, request, options, std::move(events));
    require(waitUntil([&] { return outcome.isEnded; }, 8s), "no end of the call");
    return outcome;
}

/// A target that ends an answer without a length once the head of a request has arrived, and closes 2 s later.
class EarlyTarget {
public:
    /// @param readsOn whether it reads the rest of the request
    EarlyTarget(std::string body, bool readsOn)
        : listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(address);
        const auto isListening = !bind(this->listener, reinterpret_cast<sockaddr*>(&address), length)
            && !listen(this->listener, 1)
            && !getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &length);
        require(isListening, "the target cannot listen");
        this->endpoint = { "127.0.0.1", ntohs(address.sin_port) };
        this->thread = std::jthread([this, text = "HTTP/1.1 200 OK\r\n\r\n" + std::move(body), readsOn] {
            const int connection = accept(this->listener, nullptr, nullptr);
            std::array<char, 16 << 10> bytes {};
            recv(connection, bytes.data(), bytes.size(), 0);
            const auto sent = send(connection, text.data(), text.size(), MSG_NOSIGNAL);
            this->isSent = sent == static_cast<ssize_t>(text.size());
            shutdown(connection, SHUT_WR);
            const auto end = Clock::now() + 2s;
            while (Clock::now() < end) {
                if (readsOn)
                    recv(connection, bytes.data(), bytes.size(), MSG_DONTWAIT);
                std::this_thread::sleep_for(1ms);
            }
            ::close(connection);
            ::close(this->listener);
        });
    }

    Endpoint endpoint;
    std::atomic<bool> isSent = false;

private:
    int listener;
    std::jthread thread;
};

struct TunnelSite {
    Application application;
    TunnelServer tunnels;
    Endpoint via;
    TunnelAnswer answer = TunnelAnswer::Open;

    TunnelSite()
    {
        this->tunnels.mayOpen = [this](const Endpoint&) { return this->answer; };
        this->via = std::get<Endpoint>(this->tunnels.listenOn({ "127.0.0.1", 0 }));
    }
};

}

Test(targetPaths, silenceOfAllTargetsIsAPartition)
{
    cr_expect(arePathsLost({ 3, 12, 600ms }));
    cr_expect(!arePathsLost({ 2, 12, 5000ms }), "two of many");
    cr_expect(arePathsLost({ 2, 2, 600ms }), "all there are");
    cr_expect(!arePathsLost({ 1, 1, 5000ms }), "one target says nothing of the paths");
    cr_expect(!arePathsLost({ 12, 12, 599ms }), "one of them was just heard");
    cr_expect(!arePathsLost({ 0, 0, 5000ms }));
}

Test(targetPaths, targetThatFailsAloneIsNotAskedThroughOtherInstances, .timeout = 20)
{
    Paths site;
    for (int i = 0; i < 10; ++i) {
        cr_expect(!site.paths.onUnreached(first, std::nullopt, std::nullopt, Clock::now()));
        cr_expect(!site.paths.onUnreached(second, std::nullopt, std::nullopt, Clock::now()));
        runFor(100ms);
    }
    cr_expect(!site.paths.viaFor(first, Clock::now()));
}

Test(targetPaths, lostTargetsAreAskedThroughOtherInstances, .timeout = 20)
{
    Paths site;
    site.silent = { first.toString(), second.toString(), "10.0.0.3:80" };
    cr_assert(waitUntil([&] { return site.paths.isPartitioned(); }, 2s));
    const auto now = Clock::now();
    cr_expect(site.paths.viaFor(first, now) == nearPeer);
    cr_expect(site.paths.onUnreached(first, nearPeer, TunnelAnswer::NoPath, now));
    cr_expect(site.paths.viaFor(first, now) == farPeer);
    cr_expect(site.paths.viaFor(second, now) == nearPeer, "another target");
    cr_expect(site.paths.onUnreached(second, nearPeer, std::nullopt, now), "it does not answer");
    cr_expect(site.paths.viaFor({ "10.0.0.3", 80 }, now) == farPeer);
    cr_expect(!site.paths.onUnreached(first, farPeer, TunnelAnswer::NoTarget, now), "no other instance is left");
    cr_expect(site.paths.viaFor(first, now + 1001ms) == nearPeer, "asked again later");
}

Test(targetPaths, lostPathsToAllAreTakenBackByOneThatWorks, .timeout = 20)
{
    RawServer target({ { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" } });
    Paths site;
    site.silent = { first.toString(), second.toString(), "10.0.0.3:80" };
    cr_assert(waitUntil([&] { return site.paths.isPartitioned(); }, 2s));
    site.silent.clear();
    site.known.push_back(target.address());
    cr_expect(site.paths.viaFor({ "10.0.0.9", 80 }, Clock::now()), "all paths, also those that were not used");
    cr_expect(waitUntil([&] { return !site.paths.isPartitioned(); }, 3s), "the own path to one works");
    cr_expect(!site.paths.viaFor(first, Clock::now()));
}

Test(targetPaths, lostPathsToAllAreTakenBackWhenATargetIsHeard, .timeout = 20)
{
    Paths site;
    site.silent = { "a:1", "b:1", "c:1" };
    cr_assert(waitUntil([&] { return site.paths.isPartitioned(); }, 2s));
    site.silent.clear();
    site.paths.onHeard(second, Clock::now());
    cr_expect(!site.paths.isPartitioned());
}

Test(targetPaths, instancesWithoutPathsLeaveTheOwnOne, .timeout = 20)
{
    Paths site;
    site.silent = { "a:1", "b:1", "c:1" };
    cr_assert(waitUntil([&] { return site.paths.isPartitioned(); }, 2s));
    const auto now = Clock::now();
    cr_expect(site.paths.onUnreached(first, nearPeer, TunnelAnswer::NoPath, now));
    cr_expect(!site.paths.onUnreached(first, farPeer, TunnelAnswer::NoPath, now));
    cr_expect(!site.paths.viaFor(first, now), "asked directly, in case that all targets were silent");
}

Test(targetPaths, targetThatIsHeardKeepsItsPaths, .timeout = 20)
{
    Paths site;
    site.silent = { "a:1", "b:1", "c:1", "d:1" };
    for (int i = 0; i < 15; ++i) {
        site.paths.onHeard(first, Clock::now());
        runFor(100ms);
    }
    cr_expect(!site.paths.isPartitioned());
}

Test(tunnel, passesAnswersOnUnchanged, .timeout = 20)
{
    TunnelSite site;
    const std::string body(3u << 20, 'x');
    RawServer target({ { "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body } });
    const auto outcome = callThrough(target.address(), site.via);
    cr_expect(!outcome.failure);
    cr_expect(outcome.body == body);
}

Test(tunnel, closeStaysACloseAndResetAReset, .timeout = 20)
{
    for (const auto ending : { Ending::Close, Ending::Reset }) {
        TunnelSite site;
        RawServer target({ { "HTTP/1.1 200 OK\r\n\r\npart", ending, 100ms } });
        const auto outcome = callThrough(target.address(), site.via);
        cr_expect_eq(outcome.failure.has_value(), ending == Ending::Reset,
            "an answer without a length is complete after a close only");
    }
}

Test(tunnel, answerWithoutALengthIsIncompleteWhenTheInstanceThatCarriesItIsKilled, .timeout = 20)
{
    int portPipe[2];
    cr_assert_eq(pipe(portPipe), 0);
    const auto carrier = fork();
    if (!carrier) {
        TunnelSite site;
        require(write(portPipe[1], &site.via.port, sizeof(site.via.port)) == sizeof(site.via.port), "no pipe");
        runFor(15s);
        _exit(0);
    }
    Endpoint via { "127.0.0.1", 0 };
    cr_assert_eq(read(portPipe[0], &via.port, sizeof(via.port)), sizeof(via.port));
    const Application application;
    RawServer target({ { "HTTP/1.1 200 OK\r\n\r\npart", Ending::Close, 2s } });
    std::jthread killer([carrier] {
        std::this_thread::sleep_for(500ms);
        kill(carrier, SIGKILL);
        waitpid(carrier, nullptr, 0);
    });
    const auto outcome = callThrough(target.address(), via);
    cr_assert_eq(outcome.body, "part");
    cr_assert(outcome.failure.has_value(), "a part of the answer was taken for the whole");
}

Test(tunnel, answerWithoutALengthIsIncompleteWhenTheInstanceThatCarriesItStops, .timeout = 20)
{
    const Application application;
    auto tunnels = std::make_unique<TunnelServer>();
    tunnels->mayOpen = [](const Endpoint&) { return TunnelAnswer::Open; };
    const auto via = std::get<Endpoint>(tunnels->listenOn({ "127.0.0.1", 0 }));
    RawServer target({ { "HTTP/1.1 200 OK\r\n\r\npart", Ending::Close, 2s } });
    QTimer::singleShot(500ms, tunnels.get(), [&] { tunnels.reset(); });
    const auto outcome = callThrough(target.address(), via);
    cr_assert_eq(outcome.body, "part");
    cr_assert(outcome.failure.has_value(), "a part of the answer was taken for the whole");
}

Test(tunnel, answerThatEndsBeforeTheRequestIsReadIsWhole, .timeout = 40)
{
    for (const bool readsOn : { true, false }) {
        for (const size_t bytes : { 2u, 8u << 20 }) {
            TunnelSite site;
            EarlyTarget target(std::string(bytes, 'x'), readsOn);
            const auto outcome
                = callThrough(target.endpoint, site.via, { "POST", "/", {}, std::string(32u << 20, 'x') });
            cr_assert(target.isSent);
            cr_expect_eq(outcome.body.size(), bytes);
            cr_expect_not(outcome.failure.has_value(), "%zu bytes, %d: %s", bytes, readsOn,
                outcome.failure ? outcome.failure->detail.c_str() : "");
            cr_expect(waitUntil([&] { return site.tunnels.findChildren<Tunnel*>().isEmpty(); }, 5s));
        }
    }
}

Test(tunnel, refusalsSendNothing, .timeout = 20)
{
    for (const auto answer : { TunnelAnswer::NoTarget, TunnelAnswer::NoPath }) {
        TunnelSite site;
        site.answer = answer;
        const auto outcome = callThrough(first, site.via);
        cr_assert(outcome.failure.has_value());
        cr_expect(!outcome.failure->requestSent);
        cr_expect(outcome.failure->isUnreached);
        cr_expect(answerOf(outcome.failure->tunnelStatus.value_or(0)) == answer);
    }
    TunnelSite site;
    const auto outcome = callThrough({ "127.0.0.1", 1 }, site.via);
    cr_assert(outcome.failure.has_value());
    cr_expect(!outcome.failure->requestSent, "nobody listens there");
    cr_expect(answerOf(outcome.failure->tunnelStatus.value_or(0)) == TunnelAnswer::NoTarget);
}

Test(tunnel, bytesThatAskForNoTunnelAreRefused, .timeout = 20)
{
    for (const auto& bytes : { std::string("GET / HTTP/1.1\r\n\r\n"), std::string("CONNECT nowhere HTTP/1.1\r\n\r\n"),
             std::string(5000, 'x'), std::string("\r\n\r\n") }) {
        TunnelSite site;
        QTcpSocket socket;
        socket.connectToHost(QString::fromStdString(site.via.host), site.via.port);
        socket.write(bytes.data(), static_cast<qint64>(bytes.size()));
        QByteArray received;
        cr_expect(waitUntil(
            [&] {
                received += socket.readAll();
                return socket.state() == QAbstractSocket::UnconnectedState;
            },
            3s));
        cr_expect(!received.startsWith("HTTP/1.1 200"), "%s", received.constData());
    }
}

// Whatever began like the answer of an instance opened a tunnel, so that a request was written to some other process.
Test(tunnel, headsThatOnlyBeginLikeAnOpenTunnelOpenNone, .timeout = 20)
{
    for (const auto& head : { std::string("HTTP/1.1 2000 OK\r\n\r\n"), std::string("HTTP/1.1 200x\r\n\r\n"),
             "HTTP/1.1 200 OK\r\nX: " + std::string(400, 'x'), std::string("HTTP/1.1 20\r\n\r\n") }) {
        const Application application;
        const RawServer elsewhere({ { head, Ending::KeepOpen } });
        const auto outcome = callThrough(first, elsewhere.address());
        cr_expect(outcome.failure && !outcome.failure->requestSent, "%s", head.substr(0, 20).c_str());
    }
}

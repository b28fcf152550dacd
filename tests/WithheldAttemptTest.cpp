// What a target says between the choice of it and the first byte of the request. Forwarding, both targets and the
// caller run in one process, so that the moment is certain.

#include "forward/Forward.h"
#include "platform/Platform.h"
#include "tests/support/Caller.h"
#include "tests/support/FakeWatchableStore.h"
#include "tests/support/Process.h"

#include <QCoreApplication>
#include <criterion/criterion.h>

using namespace testing;
using namespace dragonfly;
using namespace std::chrono_literals;

namespace {

int argumentCount = 0;

/// Calls a function while an attempt is prepared: after its target was chosen, before its connection is opened.
class InterruptingDialect : public platform::HeaderCodec {
public:
    std::function<void(const std::string& targetId)> onDispatch;

    http::Request dispatch(const http::Request& received, const forward::Dispatch& dispatch) const override
    {
        this->onDispatch(dispatch.targetId);
        return platform::HeaderCodec::dispatch(received, dispatch);
    }
};

/// A target of a plain service that counts the requests that reach it.
struct CountingTarget {
    int arrivals = 0;
    http::Server server { {},
        [this](const http::ExchangePointer& exchange) {
            ++this->arrivals;
            const auto id = exchange->request().headers.valueOr("X-Dragonflyarch-Attempt-Id", "");
            exchange->respond(200,
                { { "X-Dragonflyarch-Attempt-Id", std::string(id) }, { "X-Dragonflyarch-Response-Stamp", "s" } },
                "done");
        } };
    Endpoint endpoint;

    CountingTarget()
    {
        this->endpoint = std::get<Endpoint>(this->server.listenShared({ "127.0.0.1", 0 }));
    }
};

struct InProcessSite {
    QCoreApplication application { argumentCount, nullptr };
    CountingTarget targets[2];
    FakeWatchableStore store;
    observe::Metrics metrics;
    directory::Directory directory { 3s };
    InterruptingDialect dialect;
    quarantine::PromptQuarantine quarantine { "one", this->store, this->metrics };
    limits::RequestLimits limits { this->metrics };
    backoff::SendGate gate { this->limits, this->metrics };
    forward::ForwardSettings settings;
    streams::StreamOrigins origins { { .instance = "one" }, this->store, this->directory, this->metrics };
    forward::ForwardContext context { this->settings, this->directory, this->dialect, this->metrics, this->quarantine,
        this->limits, this->gate, this->origins };
    forward::Forwarder forwarder { this->context };
    http::Server server { {}, [this](const http::ExchangePointer& exchange) { this->forwarder.handle(exchange); } };
    Endpoint endpoint;
    Caller caller { "" };
    int dispatches = 0;
    std::string interrupted; ///< id of the first target that was chosen

    InProcessSite()
    {
        this->settings.policy = routing::LeastCost {};
        this->limits.standingOf = [](const directory::Registration&) { return limits::Standing { 0, 1, 1 }; };
        directory::Deployment deployment;
        deployment.version = 1;
        directory::Route route;
        route.name = "book";
        route.host = "a.example";
        route.pathPrefix = "/";
        route.shares = { { "desk", 1 } };
        route.timeout = 2s;
        route.targetLatency = 1s;
        deployment.routes = { route };
        deployment.services.push_back({ "desk", 100, std::nullopt, std::nullopt });
        this->directory.apply(std::move(deployment));
        this->addTarget(0);
        this->addTarget(1);
        this->endpoint = std::get<Endpoint>(this->server.listenShared({ "127.0.0.1", 0 }));
    }

    void addTarget(int number, bool isDraining = false)
    {
        directory::Registration registration;
        registration.id = "t" + std::to_string(number);
        registration.service = "desk";
        registration.endpoint = this->targets[number].endpoint;
        registration.isDraining = isDraining;
        this->directory.registerTarget(registration);
    }

    /// Sends a request that may run once at most; @p interrupt is called when its first target has been chosen.
    AnswerPointer send(const std::function<void(const directory::Registration&)>& interrupt)
    {
        this->dialect.onDispatch = [this, interrupt](const std::string& id) {
            if (this->dispatches++)
                return;
            this->interrupted = id;
            interrupt(this->directory.targets().at(id)->registration);
        };
        const http::Headers headers { { "Host", "a.example" }, { "X-Dragonflyarch-Attempt-Id", "r1" } };
        auto answer = this->caller.send(this->endpoint, { "POST", "/x", headers, "body" });
        require(waitFor(answer, 5s), "no answer");
        return answer;
    }

    int numberOfInterrupted() const
    {
        return this->interrupted == "t0" ? 0 : 1;
    }

    /// Whether the second target alone got the request, at no cost to the first one or to the retry budget.
    void requireOtherTargetServed(const AnswerPointer& answer)
    {
        const auto first = this->numberOfInterrupted();
        cr_assert_eq(answer->status, 200, "%d %s", answer->status, answer->body.c_str());
        cr_assert_eq(this->targets[first].arrivals, 0, "the first byte was written");
        cr_assert_eq(this->targets[1 - first].arrivals, 1);
        cr_assert_eq(this->metrics.attemptsWithheld.Value(), 1);
        cr_assert_eq(this->metrics.retries.Value(), 0);
        const auto& state = *this->directory.targets().at(this->interrupted)->state;
        cr_assert_eq(state.consecutiveFailures.load(), 0, "counted as a failure of the target");
    }
};

}

Test(withheldAttempt, targetSaysThatItLeavesWhileTheConnectionIsOpened)
{
    InProcessSite site;
    site.requireOtherTargetServed(site.send([&](const directory::Registration& target) {
        site.gate.onAnswer(target, { true, {}, false }, "r0", Clock::now());
    }));
}

Test(withheldAttempt, targetAsksForTimeWhileTheConnectionIsOpened)
{
    InProcessSite site;
    site.requireOtherTargetServed(site.send([&](const directory::Registration& target) {
        site.gate.onAnswer(target, { false, std::chrono::duration<double>(5), false }, "r0", Clock::now());
    }));
}

Test(withheldAttempt, targetNamesALimitWhileTheConnectionIsOpened)
{
    InProcessSite site;
    site.requireOtherTargetServed(site.send([&](const directory::Registration& target) {
        site.limits.onAnswer(target, { 0.5, false }, Clock::now(), Clock::now());
    }));
}

Test(withheldAttempt, targetIsRegisteredAsDrainingWhileTheConnectionIsOpened)
{
    InProcessSite site;
    site.requireOtherTargetServed(
        site.send([&](const directory::Registration& target) { site.addTarget(target.id == "t0" ? 0 : 1, true); }));
}

Test(withheldAttempt, requestIsRefusedAtOnceWithATrueTimeIfNoTargetIsLeft)
{
    InProcessSite site;
    const auto answer = site.send([&](const directory::Registration&) {
        for (const auto& [id, target] : site.directory.targets())
            site.gate.onAnswer(
                target->registration, { false, std::chrono::duration<double>(4), false }, "r0", Clock::now());
    });
    cr_assert_eq(answer->status, 503);
    cr_assert_eq(answer->execution(), "not-run");
    const auto told = std::stod(answer->header("Retry-After"));
    cr_assert(told >= 3.9 && told <= 5.1, "told %g s of 4 s", told);
    cr_assert_eq(site.targets[0].arrivals + site.targets[1].arrivals, 0);
}

// Instances opened tunnels to the address of any entry, whoever wrote it.
Test(withheldAttempt, tunnelsLeadToTargetsOfRoutedServicesOnly)
{
    InProcessSite site;
    directory::Registration stray;
    stray.id = "stray";
    stray.service = "not-configured";
    stray.endpoint = { "10.0.0.1", 22 };
    site.directory.registerTarget(stray);
    cr_assert(site.forwarder.isTargetAt(site.targets[0].endpoint));
    cr_assert_not(site.forwarder.isTargetAt(stray.endpoint));
}

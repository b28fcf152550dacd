// Isolated data centres continue to serve within the contract (point 10), the service recovers after processes
// were frozen (point 11), and malformed peer messages do no harm.

#include "peer.pb.h"
#include "tests/support/Site.h"

#include <QJsonArray>
#include <algorithm>
#include <criterion/criterion.h>
#include <random>
#include <zmq.hpp>

using namespace testing;
using namespace std::chrono_literals;

namespace {

std::vector<AnswerPointer> sendRequests(
    Caller& caller, Site& site, size_t entry, int count, std::chrono::milliseconds interval)
{
    std::vector<AnswerPointer> answers;
    for (int i = 0; i < count; ++i) {
        answers.push_back(caller.complete(site.entry(entry), "assistant", "Question", 1, "load", false));
        runFor(interval);
    }
    return answers;
}

std::ptrdiff_t countStatus(const std::vector<AnswerPointer>& answers, int status)
{
    return std::count_if(
        answers.begin(), answers.end(), [status](const auto& answer) { return answer->status == status; });
}

}

Test(partition, isolatedDataCentreServesAndUpdatesAfterReconnecting, .timeout = 90)
{
    const Application application;
    SiteOptions options;
    options.dataCentres = 2;
    Site site(options);
    site.startEntry(0, false);
    site.startEntry(1, true);
    const auto before = site.revisionOf(1);
    // Isolates the second data centre from the platform and, by freezing it, from its only peer.
    site.platform->fault("cut");
    site.entries[0]->freeze();
    Caller caller(apiKey);
    const auto answers = sendRequests(caller, site, 1, 50, 20ms);
    cr_assert(waitForAll(answers, 10s));
    cr_assert_eq(countStatus(answers, 200), 50, "an isolated data centre with engines of its own refused requests");
    const auto booking = caller.post(
        site.entry(1), "/book/x", "{}", { { "Idempotency-Key", "cut" }, { "Dragonfly-Deadline-Ms", "800" } });
    cr_assert(waitFor(booking));
    cr_assert(booking->execution() == "not-run");
    site.writeObjects("---\nkind: priority\nname: news\nlevel: 1\n");
    cr_assert_eq(site.publish().exitStatus, 0);
    cr_assert_eq(site.revisionOf(1), before);
    site.entries[0]->thaw();
    const auto calls = site.metric(1, "dragonfly_platform_calls_total");
    site.platform->fault("pass");
    cr_assert(waitUntil([&] { return site.revisionOf(1) > before && site.revisionOf(0) > before; }, 10s));
    runFor(3s);
    cr_assert_leq(
        site.metric(1, "dragonfly_platform_calls_total") - calls, 40, "too many platform calls after reconnecting");
}

Test(partition, rateLimitsHoldAcrossIsolatedInstances, .timeout = 90)
{
    const Application application;
    SiteOptions options;
    options.dataCentres = 2;
    options.requestsPerSecond = 40;
    Site site(options);
    site.startEntry(0);
    site.startEntry(1);
    site.platform->fault("cut");
    control(site.platform->direct(), { { "mode", "down" } });
    Caller caller(apiKey);
    std::vector<AnswerPointer> answers;
    const auto begin = dragonfly::Clock::now();
    while (dragonfly::Clock::now() - begin < 5s) {
        for (size_t entry = 0; entry < 2; ++entry)
            answers.push_back(caller.complete(site.entry(entry), "assistant", "Question", 1, "load", false));
        runFor(8ms);
    }
    const std::chrono::duration<double> elapsed = dragonfly::Clock::now() - begin;
    cr_assert(waitForAll(answers, 10s));
    const auto admitted = static_cast<double>(countStatus(answers, 200));
    cr_assert_leq(
        admitted, 40 * (elapsed.count() + 1) + 2, "%f requests were admitted in %f s", admitted, elapsed.count());
    cr_assert_geq(admitted, 40 * elapsed.count() * 0.9);
    for (const auto& answer : answers) {
        if (answer->status != 200)
            cr_assert(
                answer->status == 429 && answer->execution() == "not-run" && !answer->header("Retry-After").empty());
    }
}

Test(frozen, bookingsRecoverAfterPlatformAndInstanceFreeze, .timeout = 90)
{
    const Application application;
    Site site;
    site.startEntry();
    Caller caller(apiKey);
    site.platform->process->freeze();
    const auto answers = sendRequests(caller, site, 0, 30, 20ms);
    cr_assert(waitForAll(answers, 10s));
    cr_assert_eq(countStatus(answers, 200), 30);
    const auto booking = caller.post(
        site.entry(0), "/book/x", "{}", { { "Idempotency-Key", "frozen" }, { "Dragonfly-Deadline-Ms", "700" } });
    cr_assert(waitFor(booking, 3s), "a booking was not answered at its deadline");
    cr_assert(booking->execution() == "not-run");
    site.platform->process->thaw();
    site.entries[0]->freeze();
    runFor(3s);
    site.entries[0]->thaw();
    const auto recovered = waitUntil(
        [&] {
            const auto answer = caller.post(site.entry(0), "/book/x", "{}", { { "Idempotency-Key", "frozen" } });
            return waitFor(answer) && answer->status == 200;
        },
        15s);
    cr_assert(recovered, "bookings did not recover");
    cr_assert_eq(executions(site)["frozen"], 1);
}

Test(silence, silentPlatformConnectionsAreReplaced, .timeout = 90)
{
    const Application application;
    Site site;
    site.startEntry();
    Caller caller(apiKey);
    for (int round = 0; round < 3; ++round) {
        site.platform->fault("silence");
        const auto name = "silent-" + std::to_string(round);
        const auto booking = caller.post(site.entry(0), "/book/x", "{}", { { "Idempotency-Key", name } });
        cr_assert(waitFor(booking, 6s));
        cr_assert_eq(booking->status, 200, "new connections work, but the answer was: %s", booking->body.c_str());
    }
    site.writeObjects("---\nkind: priority\nname: news\nlevel: 1\n");
    const auto before = site.revisionOf(0);
    cr_assert_eq(site.publish().exitStatus, 0);
    cr_assert(waitUntil([&] { return site.revisionOf(0) > before; }, 10s));
}

Test(peers, malformedMessagesDoNotStopTheInstance, .timeout = 60)
{
    const Application application;
    Site site;
    site.startEntry();
    zmq::context_t context;
    zmq::socket_t socket(context, zmq::socket_type::push);
    socket.connect("tcp://" + site.entries[0]->address("peers").toString());
    const auto send = [&](const std::string& bytes) { socket.send(zmq::buffer(bytes)); };
    std::mt19937 random(1);
    for (int i = 0; i < 2000; ++i) {
        std::string bytes(random() % 200, '\0');
        for (auto& byte : bytes)
            byte = static_cast<char>(random());
        send(bytes);
    }
    dragonfly::pb::PeerMessage message;
    auto* gossip = message.mutable_gossip();
    gossip->mutable_sender()->set_instance("liar");
    gossip->mutable_sender()->set_address("nowhere at all");
    gossip->set_config_revision(~uint64_t(0));
    auto* peer = gossip->add_peers();
    peer->set_instance("other");
    peer->set_address("");
    peer->set_heard_ms_ago(~uint64_t(0));
    auto* report = gossip->add_targets();
    report->set_target("no-such-target");
    report->set_observed_ms_ago(~uint64_t(0));
    for (int i = 0; i < 50; ++i)
        send(message.SerializeAsString());
    message.mutable_fetch_manifest();
    message.set_reply_to("x:y");
    send(message.SerializeAsString());
    message.mutable_manifest_reply()->set_manifest("not a manifest");
    send(message.SerializeAsString());
    message.mutable_parts_reply()->add_parts("not a part");
    send(message.SerializeAsString());
    dragonfly::pb::PeerMessage laterVersion;
    laterVersion.set_protocol_version(99);
    send(laterVersion.SerializeAsString());
    runFor(2500ms);
    cr_assert(site.entries[0]->isRunning(), "%s", site.entries[0]->log().c_str());
    Caller caller(apiKey);
    const auto answer = caller.complete(site.entry(0), "assistant", "hello", 1, "after", false);
    cr_assert(waitFor(answer));
    cr_assert_eq(answer->status, 200);
    cr_assert_geq(site.metric(0, "dragonfly_peer_messages_refused_total"), 1);
}

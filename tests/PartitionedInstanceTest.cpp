// An instance that is partitioned from all targets while its callers, the store and the other instances reach it.

#include "tests/support/ForwardSite.h"
#include "tests/support/Site.h"

#include <QTcpServer>
#include <QTcpSocket>
#include <criterion/criterion.h>
#include <fstream>
#include <sys/socket.h>

using namespace testing;
using namespace dragonfly;
using namespace std::chrono_literals;

namespace {

/// The platform's contact time: from then on after the begin of a partition its callers are to be served.
constexpr auto contactTime = 4s;

/// A port that takes no connection: connects to it hang, because its queue is full.
class Sink {
public:
    Sink()
    {
        require(this->server.listen(QHostAddress::LocalHost), "no sink");
        ::listen(static_cast<int>(this->server.socketDescriptor()), 0);
        this->server.pauseAccepting();
        for (auto& socket : this->fillers)
            socket.connectToHost(QHostAddress::LocalHost, this->server.serverPort());
        runFor(50ms);
    }
    int port() const
    {
        return this->server.serverPort();
    }

private:
    QTcpServer server;
    QTcpSocket fillers[3];
};

/// Two instances, of which the first can be partitioned from all targets.
struct PartitionSite {
    Application application;
    Sink sink;
    QTemporaryDir folder;
    ForwardSite site;
    int sent = 0;

    PartitionSite()
        : PartitionSite({ "", "" })
    {
    }
    /// With one engine for each of @p softwareVersions.
    explicit PartitionSite(const QStringList& softwareVersions, const std::function<void(ForwardSite&)>& prepare = {})
        : site(softwareVersions)
    {
        if (prepare)
            prepare(this->site);
        const auto file = this->folder.filePath("partition").toLocal8Bit();
        qputenv("PARTITION_FILE", file);
        qputenv("LD_PRELOAD", BUILD_FOLDER "/libpartition.so");
        this->site.startEntry();
        qunsetenv("LD_PRELOAD");
        this->site.startEntry();
        runFor(2s); // until the instances know each other
    }

    void partition(const std::string& mode)
    {
        std::ofstream file(this->folder.filePath("partition").toStdString());
        file << mode << ' ' << this->sink.port();
        for (const auto* targets : { &this->site.engines, &this->site.services }) {
            for (const auto& target : *targets)
                file << ' ' << target->address().port;
        }
    }
    void heal() const
    {
        std::ofstream(this->folder.filePath("partition").toStdString());
    }

    /// Sends requests of each kind to the first instance for @p duration and waits for the answers.
    std::vector<AnswerPointer> sendFor(std::chrono::milliseconds duration)
    {
        std::vector<AnswerPointer> answers;
        const auto end = Clock::now() + duration;
        while (Clock::now() < end) {
            for (const auto* path : { "/ask/x", "/book/x", "/read/x" }) {
                if (this->site.engines.empty() && std::string_view(path) == "/ask/x")
                    continue;
                answers.push_back(this->site.send({ .id = "r" + std::to_string(++this->sent), .path = path }));
            }
            runFor(50ms);
        }
        require(waitForAll(answers, 10s), "no answer");
        return answers;
    }
};

size_t countServed(const std::vector<AnswerPointer>& answers)
{
    return static_cast<size_t>(
        std::ranges::count_if(answers, [](const auto& answer) { return answer->whole && answer->status == 200; }));
}

void expectServed(const std::vector<AnswerPointer>& answers, const std::string& when)
{
    // The users' bound is two thirds of what the others serve, and these serve all.
    cr_expect_geq(countServed(answers) * 3, answers.size() * 2, "%s: %zu of %zu served", when.c_str(),
        countServed(answers), answers.size());
}

void expectServedThroughPartition(const std::string& mode)
{
    PartitionSite site;
    expectServed(site.sendFor(500ms), "before");
    site.partition(mode);
    site.sendFor(contactTime);
    expectServed(site.sendFor(3s), mode);
    site.heal();
    expectServed(site.sendFor(2s), "healed after " + mode);
}

}

Test(partitionedInstance, callersAreServedWhileConnectionsHang, .timeout = 60)
{
    expectServedThroughPartition("hang");
}

Test(partitionedInstance, callersAreServedWhileConnectionsAreReset, .timeout = 60)
{
    expectServedThroughPartition("reset");
}

Test(partitionedInstance, callersAreServedWhileNewConnectionsAreRefused, .timeout = 60)
{
    expectServedThroughPartition("new");
}

Test(partitionedInstance, callersAreServedAfterTheInstanceThatHelpedWasKilled, .timeout = 60)
{
    PartitionSite site;
    site.site.startEntry();
    runFor(2s); // until the instances know each other
    site.partition("hang");
    site.sendFor(contactTime);
    site.site.entries[1]->kill();
    site.sendFor(contactTime);
    expectServed(site.sendFor(2s), "after the kill");
}

// Entries of services that are not configured counted as targets that are not silent, and a connection to the address
// of one as a path to the targets.
Test(partitionedInstance, callersAreServedBesideEntriesOfUnknownServices, .timeout = 60)
{
    std::unique_ptr<QTcpServer> elsewhere;
    PartitionSite site(QStringList {}, [&](ForwardSite& prepared) {
        elsewhere = std::make_unique<QTcpServer>();
        require(elsewhere->listen(QHostAddress::LocalHost), "cannot listen");
        for (const auto* id : { "stray-0", "stray-1" })
            prepared.registerTarget(id, "not-configured", "m", { "127.0.0.1", elsewhere->serverPort() });
    });
    expectServed(site.sendFor(500ms), "before");
    site.partition("reset");
    site.sendFor(contactTime);
    expectServed(site.sendFor(3s), "partitioned");
}

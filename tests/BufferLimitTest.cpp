// Many requests at once whose targets send without end: the memory of the instance, and the requests beside them.

#include "daemon/Settings.h"
#include "tests/support/EndlessTarget.h"
#include "tests/support/ForwardSite.h"

#include <QTemporaryDir>
#include <criterion/criterion.h>
#include <fstream>

using namespace testing;
using namespace std::chrono_literals;

namespace {

constexpr int endlessRequests = 60;
/// The memory of the smallest instances, which the settings of the tests name.
constexpr uint64_t memoryBytes = 88u << 20;
constexpr const char* memorySetting = "memory: 88MiB\n";

const std::string event = "id: 1\ndata: token 1\n\n";

std::string idOf(const std::string& head)
{
    const std::string name = "\r\nX-Dragonflyarch-Attempt-Id: ";
    const auto begin = head.find(name);
    return begin == std::string::npos
        ? ""
        : head.substr(begin + name.size(), head.find("\r\n", begin + name.size()) - begin - name.size());
}

std::string headOf(const std::string& id, const std::string& framing, int status = 200)
{
    return "HTTP/1.1 " + std::to_string(status)
        + " Status\r\nX-Dragonflyarch-Weight-Versions: 1\r\nX-Dragonflyarch-Response-Stamp: stamp\r\n"
          "X-Dragonflyarch-Attempt-Id: "
        + id + "\r\n" + framing + "\r\n";
}

const std::string chunked = "Transfer-Encoding: chunked\r\n";
const std::string events = "Content-Type: text/event-stream\r\n" + chunked;

/// A chunk with @p bytes of data.
std::string chunkOf(const std::string& bytes)
{
    char size[20];
    std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

/// Two targets of each service that answer requests "endless-*" in a given way and all others soundly.
struct EndlessSite {
    using AnswerTo = std::function<EndlessAnswer(const std::string& id)>;

    int argumentCount = 0;
    QCoreApplication application { argumentCount, nullptr };
    ForwardSite site;
    AnswerTo endless;
    EndlessTarget first { [this](const std::string& head) { return this->answer(head); } };
    EndlessTarget second { [this](const std::string& head) { return this->answer(head); } };
    Process* entry = nullptr;

    explicit EndlessSite(AnswerTo endless)
        : endless(std::move(endless))
    {
        for (const auto* target : { &this->first, &this->second }) {
            const auto number = QString::number(target == &this->first ? 1 : 2);
            this->site.registerTarget("endless-service-" + number, "desk", "", target->address());
            this->site.registerTarget("endless-engine-" + number, "engines", "m", target->address());
        }
        for (const auto* targets : { &this->site.services, &this->site.engines }) {
            for (const auto& each : *targets)
                control(each->address(), { { "draining", true } });
        }
        this->entry = &this->site.startEntry(true, memorySetting);
        runFor(200ms);
    }

    EndlessAnswer answer(const std::string& head) const
    {
        const auto id = idOf(head);
        if (id.starts_with("endless-"))
            return this->endless(id);
        return { headOf(id, "Content-Length: " + std::to_string(event.size()) + "\r\n") + event, "" };
    }
    int sending() const
    {
        return this->first.sending() + this->second.sending();
    }
};

/// Sends the requests at once, and others that have sound answers while they are open.
void check(const char* name, const std::string& path, const EndlessSite::AnswerTo& endless)
{
    EndlessSite site(endless);
    const auto before = site.entry->peakResidentBytes();
    std::vector<AnswerPointer> answers;
    for (int i = 0; i < endlessRequests; ++i)
        answers.push_back(site.site.send({ "endless-" + std::to_string(i), path }));
    int refused = 0;
    for (int i = 0; i < 20; ++i) {
        const auto answer = site.site.sendAndWait({ "sound-" + std::to_string(i), "/read/x" });
        refused += answer->status != 200 || answer->body != event;
        runFor(20ms);
    }
    cr_expect(waitForAll(answers, 10s), "%s: a request did not end", name);
    const auto peak = site.entry->peakResidentBytes();
    std::fprintf(stderr, "%s: peak %.1f MB, before %.1f MB\n", name, static_cast<double>(peak) / 1e6,
        static_cast<double>(before) / 1e6);
    cr_expect(site.entry->isRunning());
    cr_expect_leq(peak, memoryBytes, "%s: peak %.1f MB, before the requests %.1f MB", name,
        static_cast<double>(peak) / 1e6, static_cast<double>(before) / 1e6);
    cr_expect_eq(refused, 0, "%s: %d of 20 sound requests failed", name, refused);
    for (const auto& answer : answers)
        cr_expect(!answer->whole || answer->status != 200, "%s: an endless answer looks whole", name);
    cr_expect(waitUntil([&] { return !site.sending(); }, 5s), "%s: a target still sends", name);
}

const std::string filler = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcde\n";

}

Test(bufferLimit, endlessBodiesEndBeforeTheInstanceDoes, .timeout = 60)
{
    check("without a length", "/read/x", [](const std::string& id) {
        return EndlessAnswer { headOf(id, ""), filler };
    });
}

Test(bufferLimit, endlessBodiesOfALengthEndBeforeTheInstanceDoes, .timeout = 60)
{
    check("of a length", "/read/x", [](const std::string& id) {
        return EndlessAnswer { headOf(id, "Content-Length: 1000000000000\r\n"), filler };
    });
}

Test(bufferLimit, endlessBodiesInChunksEndBeforeTheInstanceDoes, .timeout = 60)
{
    check("in chunks", "/read/x", [](const std::string& id) {
        return EndlessAnswer { headOf(id, chunked), chunkOf(std::string(4000, 'x')) };
    });
}

Test(bufferLimit, endlessBodiesOfErrorsEndBeforeTheInstanceDoes, .timeout = 60)
{
    check("of an error", "/book/x", [](const std::string& id) {
        return EndlessAnswer { headOf(id, "", 500), filler };
    });
}

Test(bufferLimit, endlessEventsEndBeforeTheInstanceDoes, .timeout = 60)
{
    check("one event", "/ask/x", [](const std::string& id) {
        return EndlessAnswer { headOf(id, events) + chunkOf("id: 1\ndata: "), chunkOf(std::string(4000, 'x')) };
    });
}

Test(bufferLimit, endlessEventsOfBegunStreamsEndBeforeTheInstanceDoes, .timeout = 60)
{
    check("one event after another", "/ask/x", [](const std::string& id) {
        return EndlessAnswer { headOf(id, events) + chunkOf(event + "id: 2\ndata: "), chunkOf(std::string(4000, 'x')) };
    });
}

Test(bufferLimit, endlessChunkExtensionsEndBeforeTheInstanceDoes, .timeout = 60)
{
    check("chunk extension", "/read/x", [](const std::string& id) {
        return EndlessAnswer { headOf(id, chunked) + "5;name=", "x" };
    });
}

Test(bufferLimit, targetWhoseAnswerIsTooLargeIsAvoidedAndTheRequestGoesElsewhere, .timeout = 60)
{
    int argumentCount = 0;
    const QCoreApplication application(argumentCount, nullptr);
    ForwardSite site;
    const EndlessTarget faulty([](const std::string& head) {
        return EndlessAnswer { headOf(idOf(head), ""), filler };
    });
    site.registerTarget("faulty", "desk", "", faulty.address());
    site.startEntry();
    int failed = 0;
    for (int i = 0; i < 50 && !faulty.arrivals(); ++i)
        failed += site.sendAndWait({ "before-" + std::to_string(i), "/read/x" })->status != 200;
    cr_assert_eq(faulty.arrivals(), 1);
    std::vector<AnswerPointer> answers;
    for (int i = 0; i < 10; ++i)
        answers.push_back(site.send({ "after-" + std::to_string(i), "/read/x" }));
    cr_assert(waitForAll(answers, 10s));
    for (const auto& answer : answers)
        failed += answer->status != 200;
    cr_expect_eq(failed, 0, "%d requests failed", failed);
    cr_expect_eq(faulty.arrivals(), 1, "%d requests reached the faulty target", faulty.arrivals());
}

Test(bufferLimit, memoryThatNoInstanceCanRunInIsRefused)
{
    QTemporaryDir folder;
    const auto file = folder.filePath("settings.yaml").toStdString();
    const auto problemsWith = [&](const std::string& line) {
        std::ofstream(file) << "interface: forwarding\ninstance: a\nregion: r\ndataCentre: d\n"
                               "platform: [127.0.0.1:1]\n"
                            << line;
        return dragonfly::daemon::loadSettings(file).problems;
    };
    for (const auto* line : { "", "memory: 88MiB\n", "memory: 260MiB\n", "memory: 48MiB\n" })
        cr_expect(problemsWith(line).empty(), "%s", line);
    for (const auto* line : { "memory: 0B\n", "memory: 47MiB\n", "memory: 260\n", "memory: much\n" })
        cr_expect_eq(problemsWith(line).size(), 1u, "%s", line);
}

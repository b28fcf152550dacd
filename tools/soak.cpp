// Random mixes of faults, two at a time, against the checks of what must always hold. Everything follows
// from the seed; when a check fails, the seed and the trace of what was done are printed.

#include "tests/support/Checks.h"
#include "tests/support/Site.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <iostream>
#include <random>
#include <sstream>

namespace {

namespace options = boost::program_options;
using namespace testing;
using namespace dragonfly;
using std::chrono::milliseconds;

constexpr uint32_t streamTokens = 40;
constexpr size_t faultsAtOnce = 2;

struct Stream {
    std::string id;
    std::string prompt;
    AnswerPointer answer;
};

/// A fault that is under way, and how it ends.
struct Fault {
    Clock::time_point ends;
    std::string what;
    std::function<void()> heal;
};

class Soak {
public:
    explicit Soak(uint32_t seed)
        : random(seed)
        , site(makeOptions())
        , start(Clock::now())
    {
        this->startEntry(0);
        this->startEntry(0);
        this->startEntry(1);
    }

    /// What went wrong, or an empty text.
    std::string run(std::chrono::duration<double> time)
    {
        while (Clock::now() - this->start < time) {
            this->endFaults(false);
            if (this->faults.size() < faultsAtOnce && this->draw(4) == 0)
                this->beginFault();
            this->sendSome();
            runFor(milliseconds(50 + this->draw(150)));
        }
        this->endFaults(true);
        return this->judge();
    }

    std::string trace() const
    {
        return this->done.str();
    }

private:
    static SiteOptions makeOptions()
    {
        SiteOptions result;
        result.dataCentres = 2;
        result.extraSettings = "requests: { progressTime: 1s }\n";
        return result;
    }

    uint32_t draw(uint32_t bound)
    {
        return static_cast<uint32_t>(this->random() % bound);
    }

    void note(const std::string& what)
    {
        const auto at = std::chrono::duration_cast<milliseconds>(Clock::now() - this->start);
        this->done << at.count() << " ms: " << what << "\n";
    }

    void startEntry(int centre)
    {
        this->site.startEntry(centre, true, false);
        this->live.push_back(this->site.entries.size() - 1);
    }

    size_t anyEntry()
    {
        return this->live[this->draw(static_cast<uint32_t>(this->live.size()))];
    }

    void sendSome()
    {
        const auto number = std::to_string(this->streams.size());
        Stream stream { "soak-" + number, "A shared beginning. Question " + number, nullptr };
        stream.answer = this->caller.complete(
            this->site.entry(this->anyEntry()), "assistant", stream.prompt, streamTokens, stream.id);
        this->streams.push_back(std::move(stream));
        if (this->draw(2))
            this->book("booking-" + std::to_string(this->bookings.size()));
        if (!this->bookings.empty() && this->draw(3) == 0)
            this->book("booking-" + std::to_string(this->draw(static_cast<uint32_t>(this->bookings.size()))));
    }

    void book(const std::string& key)
    {
        this->bookings[key].push_back(this->caller.post(this->site.entry(this->anyEntry()), "/book/visit", "{}",
            { { "Idempotency-Key", key }, { "Dragonfly-Deadline-Ms", std::to_string(500 + this->draw(2500)) } }));
    }

    void begin(const std::string& what, std::function<void()> heal)
    {
        this->note(what);
        const auto time = milliseconds(300 + this->draw(2500));
        this->faults.push_back({ Clock::now() + time, what, std::move(heal) });
    }

    void endFaults(bool all)
    {
        for (size_t i = 0; i < this->faults.size();) {
            if (!all && this->faults[i].ends > Clock::now()) {
                ++i;
                continue;
            }
            const auto fault = std::move(this->faults[i]);
            this->faults.erase(this->faults.begin() + static_cast<ptrdiff_t>(i));
            this->note("end of: " + fault.what);
            fault.heal();
        }
    }

    void beginFault()
    {
        const auto engine = this->draw(static_cast<uint32_t>(this->site.engines.size()));
        const auto service = this->draw(static_cast<uint32_t>(this->site.services.size()));
        switch (this->draw(9)) {
        case 0:
            return this->killEngine(engine);
        case 1:
            return this->freeze(*this->site.engines[engine]->process, "engine " + std::to_string(engine));
        case 2:
            return this->breakLink(*this->site.engines[engine], "engine " + std::to_string(engine));
        case 3:
            return this->breakLink(*this->site.services[service], "service " + std::to_string(service));
        case 4:
            return this->breakLink(*this->site.platform, "platform");
        case 5:
            return this->setMode(*this->site.platform, { "down", "lose-answers", "slow" }, "up", "platform");
        case 6:
            return this->setMode(*this->site.services[service], { "close", "refuse", "fail" }, "normal",
                "service " + std::to_string(service));
        case 7:
            return this->freeze(*this->site.platform->process, "platform");
        default:
            return this->replaceOrFreezeEntry();
        }
    }

    void killEngine(uint32_t number)
    {
        auto* engine = this->site.engines[number].get();
        if (!engine->process->isRunning() || this->isFaulty("engine " + std::to_string(number)))
            return;
        engine->process->kill();
        this->begin("kill of engine " + std::to_string(number), [engine] { engine->restart(); });
    }

    void freeze(Process& process, const std::string& name)
    {
        if (this->isFaulty(name) || !process.isRunning())
            return;
        process.freeze();
        this->begin("freeze of " + name, [&process] { process.thaw(); });
    }

    void breakLink(const Backend& backend, const std::string& name)
    {
        static const char* modes[] = { "cut", "silence", "drop-answers", "hold-answers", "cross" };
        const auto* mode = modes[this->draw(std::size(modes))];
        backend.fault(mode);
        this->begin(std::string(mode) + " on the link to " + name, [&backend] { backend.fault("pass"); });
    }

    void setMode(
        const Backend& backend, const std::vector<const char*>& modes, const char* healed, const std::string& name)
    {
        if (this->isFaulty(name))
            return;
        const auto* mode = modes[this->draw(static_cast<uint32_t>(modes.size()))];
        control(backend.direct(), { { "mode", mode }, { "delay_ms", 300 } });
        const auto delay = name == "platform" ? 0 : 20;
        this->begin(name + " is " + mode, [&backend, healed, delay] {
            control(backend.direct(), { { "mode", healed }, { "delay_ms", delay } });
        });
    }

    void replaceOrFreezeEntry()
    {
        const auto place = this->draw(static_cast<uint32_t>(this->live.size()));
        const auto number = this->live[place];
        const auto name = "entry " + std::to_string(number);
        if (this->isFaulty("entry"))
            return;
        if (this->draw(2)) {
            this->freeze(*this->site.entries[number], name);
            return;
        }
        this->site.entries[number]->kill();
        this->live.erase(this->live.begin() + place);
        this->begin("kill of " + name, [this, number] { this->startEntry(number % 2 ? 1 : 0); });
    }

    /// Orders to a process that is frozen or gone would wait for it.
    bool isFaulty(const std::string& name) const
    {
        return std::any_of(this->faults.begin(), this->faults.end(),
            [&name](const Fault& fault) { return fault.what.find(name) != std::string::npos; });
    }

    std::string judge()
    {
        std::vector<AnswerPointer> all;
        for (const auto& stream : this->streams)
            all.push_back(stream.answer);
        for (const auto& [key, answers] : this->bookings)
            all.insert(all.end(), answers.begin(), answers.end());
        if (!waitForAll(all, std::chrono::seconds(70)))
            return "an answer hangs past its deadline";
        for (const auto& stream : this->streams) {
            if (auto fault = streamFault(*stream.answer, stream.id, stream.prompt, weights, streamTokens);
                !fault.empty())
                return fault;
        }
        if (auto fault = bookingFault(this->bookings, executions(this->site)); !fault.empty())
            return fault;
        return this->allServeAgain() ? "" : "an instance did not serve again after everything had healed";
    }

    bool allServeAgain()
    {
        for (const auto entry : this->live) {
            const auto serves = [&] {
                const auto booking = this->caller.post(this->site.entry(entry), "/book/after", "{}",
                    { { "Idempotency-Key", "after-" + std::to_string(this->random()) },
                        { "Dragonfly-Deadline-Ms", "3000" } });
                const auto question = this->caller.complete(this->site.entry(entry), "assistant", "after", 2, "after");
                return waitForAll({ booking, question }, std::chrono::seconds(10)) && booking->status == 200
                    && question->status == 200;
            };
            if (!waitUntil(serves, std::chrono::seconds(20)))
                return false;
        }
        return true;
    }

    std::mt19937 random;
    Site site;
    Clock::time_point start;
    Caller caller { apiKey };
    std::vector<size_t> live; ///< entry instances that run
    std::vector<Fault> faults;
    std::vector<Stream> streams;
    AnswersByKey bookings;
    std::ostringstream done;
};

}

int main(int argc, char** argv)
{
    uint32_t seed = 1;
    double minutes = 1;
    options::options_description description("soak [options]");
    description.add_options()("seed", options::value(&seed)->default_value(1), "everything follows from it")(
        "minutes", options::value(&minutes)->default_value(1), "how long")("help", "print this help");
    options::variables_map given;
    options::store(options::parse_command_line(argc, argv, description), given);
    options::notify(given);
    if (given.count("help")) {
        std::cout << description;
        return 0;
    }
    const Application application;
    Soak soak(seed);
    const auto fault = soak.run(std::chrono::duration<double>(minutes * 60));
    if (fault.empty()) {
        std::cout << "seed " << seed << ": everything held\n";
        return 0;
    }
    std::cout << "seed " << seed << ": " << fault << "\n" << soak.trace();
    return 1;
}

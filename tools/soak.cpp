// Soak test: injects random faults, at most two at a time, under load and checks the invariants at the end. The seed
// determines faults and requests; if a check fails, the seed and a trace of the faults are printed.

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
constexpr size_t maxActiveFaults = 2;

struct Stream {
    std::string id;
    std::string prompt;
    AnswerPointer answer;
};

/// An active fault.
struct Fault {
    Clock::time_point endsAt;
    std::string description; ///< contains the name of the affected process
    std::function<void()> end; ///< ends the fault
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

    /// Returns a description of the violated invariant, or an empty string.
    std::string run(std::chrono::duration<double> duration)
    {
        while (Clock::now() - this->start < duration) {
            this->endFaults(false);
            if (this->faults.size() < maxActiveFaults && this->draw(4) == 0)
                this->injectRandomFault();
            this->sendRequests();
            runFor(milliseconds(50 + this->draw(150)));
        }
        this->endFaults(true);
        return this->checkInvariants();
    }

    std::string trace() const
    {
        return this->traceLog.str();
    }

private:
    static SiteOptions makeOptions()
    {
        SiteOptions result;
        result.dataCentres = 2;
        result.extraSettings = "requests: { progressTime: 1s }\n";
        return result;
    }

    /// Random number below @p bound.
    uint32_t draw(uint32_t bound)
    {
        return static_cast<uint32_t>(this->random() % bound);
    }

    void record(const std::string& description)
    {
        const auto at = std::chrono::duration_cast<milliseconds>(Clock::now() - this->start);
        this->traceLog << at.count() << " ms: " << description << "\n";
    }

    void startEntry(int centre)
    {
        this->site.startEntry(centre, true, false);
        this->liveEntries.push_back(this->site.entries.size() - 1);
    }

    size_t anyEntry()
    {
        return this->liveEntries[this->draw(static_cast<uint32_t>(this->liveEntries.size()))];
    }

    void sendRequests()
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

    void addFault(const std::string& description, std::function<void()> end)
    {
        this->record(description);
        const auto duration = milliseconds(300 + this->draw(2500));
        this->faults.push_back({ Clock::now() + duration, description, std::move(end) });
    }

    /// Ends the faults whose time is over, or all of them.
    void endFaults(bool all)
    {
        for (size_t i = 0; i < this->faults.size();) {
            if (!all && this->faults[i].endsAt > Clock::now()) {
                ++i;
                continue;
            }
            const auto fault = std::move(this->faults[i]);
            this->faults.erase(this->faults.begin() + static_cast<ptrdiff_t>(i));
            this->record("end of: " + fault.description);
            fault.end();
        }
    }

    void injectRandomFault()
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
        if (!engine->process->isRunning() || this->hasFault("engine " + std::to_string(number)))
            return;
        engine->process->kill();
        this->addFault("kill of engine " + std::to_string(number), [engine] { engine->restart(); });
    }

    void freeze(Process& process, const std::string& name)
    {
        if (this->hasFault(name) || !process.isRunning())
            return;
        process.freeze();
        this->addFault("freeze of " + name, [&process] { process.thaw(); });
    }

    void breakLink(const Backend& backend, const std::string& name)
    {
        static const char* modes[] = { "cut", "silence", "drop-answers", "hold-answers", "cross" };
        const auto* mode = modes[this->draw(std::size(modes))];
        backend.fault(mode);
        this->addFault(std::string(mode) + " on the link to " + name, [&backend] { backend.fault("pass"); });
    }

    void setMode(
        const Backend& backend, const std::vector<const char*>& modes, const char* normalMode, const std::string& name)
    {
        if (this->hasFault(name))
            return;
        const auto* mode = modes[this->draw(static_cast<uint32_t>(modes.size()))];
        control(backend.direct(), { { "mode", mode }, { "delay_ms", 300 } });
        const auto delay = name == "platform" ? 0 : 20;
        this->addFault(name + " is " + mode, [&backend, normalMode, delay] {
            control(backend.direct(), { { "mode", normalMode }, { "delay_ms", delay } });
        });
    }

    void replaceOrFreezeEntry()
    {
        const auto position = this->draw(static_cast<uint32_t>(this->liveEntries.size()));
        const auto number = this->liveEntries[position];
        const auto name = "entry " + std::to_string(number);
        if (this->hasFault("entry"))
            return;
        if (this->draw(2)) {
            this->freeze(*this->site.entries[number], name);
            return;
        }
        this->site.entries[number]->kill();
        this->liveEntries.erase(this->liveEntries.begin() + position);
        this->addFault("kill of " + name, [this, number] { this->startEntry(number % 2 ? 1 : 0); });
    }

    /// True if an active fault affects @p name. A second fault must not be injected then: control commands would block
    /// on a frozen or killed process.
    bool hasFault(const std::string& name) const
    {
        return std::any_of(this->faults.begin(), this->faults.end(),
            [&name](const Fault& fault) { return fault.description.find(name) != std::string::npos; });
    }

    std::string checkInvariants()
    {
        std::vector<AnswerPointer> allAnswers;
        for (const auto& stream : this->streams)
            allAnswers.push_back(stream.answer);
        for (const auto& [key, answers] : this->bookings)
            allAnswers.insert(allAnswers.end(), answers.begin(), answers.end());
        if (!waitForAll(allAnswers, std::chrono::seconds(70)))
            return "an answer did not end by its deadline";
        for (const auto& stream : this->streams) {
            if (auto fault = streamFault(*stream.answer, stream.id, stream.prompt, weights, streamTokens);
                !fault.empty())
                return fault;
        }
        if (auto fault = bookingFault(this->bookings, executions(this->site)); !fault.empty())
            return fault;
        return this->allServe() ? "" : "an instance did not serve requests after all faults had ended";
    }

    bool allServe()
    {
        for (const auto entry : this->liveEntries) {
            const auto serves = [&] {
                const auto booking = this->caller.post(this->site.entry(entry), "/book/after", "{}",
                    { { "Idempotency-Key", "after-" + std::to_string(this->random()) },
                        { "Dragonfly-Deadline-Ms", "3000" } });
                const auto completion
                    = this->caller.complete(this->site.entry(entry), "assistant", "after", 2, "after");
                return waitForAll({ booking, completion }, std::chrono::seconds(10)) && booking->status == 200
                    && completion->status == 200;
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
    std::vector<size_t> liveEntries; ///< indices of the running entry instances
    std::vector<Fault> faults;
    std::vector<Stream> streams;
    AnswersByKey bookings;
    std::ostringstream traceLog;
};

}

int main(int argc, char** argv)
{
    uint32_t seed = 1;
    double minutes = 1;
    options::options_description description("soak [options]");
    description.add_options()(
        "seed", options::value(&seed)->default_value(1), "seed of the random faults and requests")(
        "minutes", options::value(&minutes)->default_value(1), "duration in minutes")("help", "print this help");
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
        std::cout << "seed " << seed << ": all checks passed\n";
        return 0;
    }
    std::cout << "seed " << seed << ": " << fault << "\n" << soak.trace();
    return 1;
}

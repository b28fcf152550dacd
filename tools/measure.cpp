// Replays a seeded workload against entry instances with different routing policies, and against an
// oracle that sees every cache and queue. Prints one JSON line for each policy and seed.

#include "routing/PrefixChain.h"
#include "tests/support/Site.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QTimer>
#include <algorithm>
#include <boost/program_options.hpp>
#include <cmath>
#include <iostream>
#include <random>
#include <sstream>

namespace {

namespace options = boost::program_options;
using namespace testing;
using namespace dragonfly;
using std::chrono::milliseconds;

/// What the workload is made of. Tokens are four bytes each, as the engine stand-in counts.
struct Workload {
    uint32_t seed = 1;
    double seconds = 20;
    double surveysPerSecond = 50; ///< long prompts
    double questionsPerSecond = 25; ///< short ones
    int organisations = 8;
    int housesPerOrganisation = 30;
    uint32_t codeTokens = 3000; ///< the building code, in front of every survey of an organisation
    uint32_t organisationTokens = 1200;
    uint32_t houseTokens = 800;
    uint32_t tailTokens = 60;
    uint32_t answerTokens = 12;
    bool shift = true; ///< other houses and organisations become popular half-way
    bool loseEngine = false; ///< an engine is killed half-way
    size_t entries = 3; ///< instances that share the requests
};

struct Shot {
    milliseconds at { 0 };
    int organisation = 0;
    std::string prompt;
    bool isLong = false;
};

std::string filler(const std::string& name, uint32_t tokens)
{
    std::mt19937 random(static_cast<uint32_t>(fastHash(name)));
    std::string text;
    while (text.size() < tokens * 4)
        text += name + " rule " + std::to_string(random() % 100000) + ". ";
    text.resize(tokens * 4);
    return text;
}

/// Few are popular: rank r is drawn in proportion to 1 / r.
int zipf(std::mt19937& random, int count)
{
    double total = 0;
    for (int rank = 1; rank <= count; ++rank)
        total += 1.0 / rank;
    auto left = std::uniform_real_distribution<>(0, total)(random);
    for (int rank = 1; rank <= count; ++rank) {
        left -= 1.0 / rank;
        if (left <= 0)
            return rank - 1;
    }
    return count - 1;
}

std::vector<Shot> makeShots(const Workload& workload)
{
    std::mt19937 random(workload.seed);
    const auto code = filler("code", workload.codeTokens);
    std::vector<Shot> shots;
    std::exponential_distribution<> gap(workload.surveysPerSecond + workload.questionsPerSecond);
    const auto longShare = workload.surveysPerSecond / (workload.surveysPerSecond + workload.questionsPerSecond);
    for (double time = gap(random); time < workload.seconds; time += gap(random)) {
        const bool shifted = workload.shift && time > workload.seconds / 2;
        Shot shot;
        shot.at = milliseconds(static_cast<int64_t>(time * 1000));
        shot.organisation = (zipf(random, workload.organisations) + (shifted ? 3 : 0)) % workload.organisations;
        shot.isLong = std::uniform_real_distribution<>(0, 1)(random) < longShare;
        const auto unique = filler("tail-" + std::to_string(random()), workload.tailTokens);
        if (shot.isLong) {
            const auto house
                = (zipf(random, workload.housesPerOrganisation) + (shifted ? 11 : 0)) % workload.housesPerOrganisation;
            const auto name = "organisation-" + std::to_string(shot.organisation);
            shot.prompt = code + filler(name, workload.organisationTokens)
                + filler(name + "-house-" + std::to_string(house), workload.houseTokens) + unique;
        } else {
            shot.prompt = unique;
        }
        shots.push_back(std::move(shot));
    }
    return shots;
}

struct PeekedEngine {
    uint32_t cachedTokens = 0;
    uint32_t queuedTokens = 0;
    int64_t slotWaitUs = 0;
};

/// One request on its way through the measurement.
struct Flight {
    const Shot* shot = nullptr;
    std::vector<AnswerPointer> peeks;
    uint32_t bestCached = 0; ///< on any live engine, when the request was sent
    AnswerPointer answer;
};

struct Policy {
    std::string name;
    bool isOracle = false;
};

constexpr int engineCount = 9;
constexpr uint32_t prefillMicroseconds = 50;
constexpr uint32_t decodeMicroseconds = 5000;

std::string keyOf(int organisation)
{
    return "key-" + std::to_string(organisation);
}

std::string organisationYaml(int number)
{
    return "---\nkind: organisation\nname: measured-" + std::to_string(number) + "\nkeyHashes: ["
        + toHex(sha256(keyOf(number))) + "]\npriority: normal\n";
}

class Run {
public:
    Run(const Workload& workload, const Policy& policy, const std::string& prefer)
        : workload(workload)
        , policy(policy)
        , shots(makeShots(workload))
        , site(this->optionsFor(prefer))
    {
        for (int i = 0; i < workload.organisations; ++i)
            this->callers.push_back(std::make_unique<Caller>(keyOf(i)));
        for (size_t i = 0; !policy.isOracle && i < workload.entries; ++i)
            this->site.startEntry();
        for (const auto& engine : this->site.engines)
            this->live.push_back(engine.get());
    }

    QJsonObject measure()
    {
        const auto start = Clock::now();
        bool lost = !this->workload.loseEngine;
        for (const auto& shot : this->shots) {
            while (Clock::now() < start + shot.at) {
                this->launchPeeked();
                runFor(milliseconds(1));
            }
            if (!lost && shot.at.count() > this->workload.seconds * 500) {
                lost = true;
                this->live.front()->process->kill();
                this->live.erase(this->live.begin());
            }
            this->peek(shot);
        }
        const auto ended = [this] {
            this->launchPeeked();
            return std::all_of(this->flights.begin(), this->flights.end(),
                [](const auto& flight) { return flight->answer && flight->answer->ended; });
        };
        waitUntil(ended, std::chrono::seconds(30));
        return this->summary();
    }

private:
    SiteOptions optionsFor(const std::string& prefer) const
    {
        SiteOptions result;
        result.enginesPerCentre = engineCount;
        result.servicesPerCentre = 0;
        result.engineArguments = QStringList { "--prefill-us", QString::number(prefillMicroseconds), "--decode-us",
            QString::number(decodeMicroseconds), "--cache-blocks", "4096", "--slots", "16", "--load-lag-ms", "500" };
        result.extraSettings
            = "routing: { policy: " + (this->policy.isOracle ? "round-robin" : this->policy.name) + " }\n";
        result.withEngineProxies = false;
        result.prefer = prefer;
        for (int i = 0; i < this->workload.organisations; ++i)
            result.extraObjects += organisationYaml(i);
        return result;
    }

    std::string saltOf(int organisation) const
    {
        return routing::cacheSalt("organisation:measured-" + std::to_string(organisation), "assistant", weights);
    }

    void peek(const Shot& shot)
    {
        auto flight = std::make_unique<Flight>();
        flight->shot = &shot;
        const QJsonObject body { { "prompt", QString::fromStdString(shot.prompt) },
            { "cache_salt", QString::fromStdString(this->saltOf(shot.organisation)) } };
        const auto text = QJsonDocument(body).toJson(QJsonDocument::Compact).toStdString();
        for (const auto* engine : this->live)
            flight->peeks.push_back(this->observer.post(engine->direct(), "/peek", text));
        this->flights.push_back(std::move(flight));
    }

    /// Sends every request whose engines have all been looked at.
    void launchPeeked()
    {
        for (; this->launched < this->flights.size(); ++this->launched) {
            auto& flight = *this->flights[this->launched];
            if (!std::all_of(
                    flight.peeks.begin(), flight.peeks.end(), [](const auto& answer) { return answer->ended; }))
                return;
            this->launch(flight);
        }
    }

    void launch(Flight& flight)
    {
        size_t best = 0;
        double bestTime = INFINITY;
        const auto tokens = flight.shot->prompt.size() / 4.0;
        for (size_t i = 0; i < flight.peeks.size(); ++i) {
            const auto seen = flight.peeks[i]->json();
            if (!flight.peeks[i]->whole)
                continue;
            const auto cached = static_cast<uint32_t>(seen["cached_tokens"].toInt());
            flight.bestCached = std::max(flight.bestCached, cached);
            const auto time = (seen["queued_tokens"].toInt() + tokens - cached) * prefillMicroseconds
                + static_cast<double>(seen["slot_wait_us"].toInteger());
            if (time < bestTime) {
                bestTime = time;
                best = i;
            }
        }
        flight.answer = this->policy.isOracle
            ? this->sendToEngine(flight, *this->live[std::min(best, this->live.size() - 1)])
            : this->sendToEntry(flight);
        flight.peeks.clear();
    }

    QJsonObject bodyOf(const Flight& flight) const
    {
        return { { "model", "assistant" }, { "prompt", QString::fromStdString(flight.shot->prompt) },
            { "max_tokens", static_cast<int>(this->workload.answerTokens) }, { "stream", true },
            { "stream_options", QJsonObject { { "include_usage", true } } } };
    }

    AnswerPointer sendToEntry(const Flight& flight)
    {
        const auto entry = this->launched % this->workload.entries;
        return this->callers[static_cast<size_t>(flight.shot->organisation)]->post(this->site.entry(entry),
            "/v1/completions", QJsonDocument(this->bodyOf(flight)).toJson(QJsonDocument::Compact).toStdString());
    }

    AnswerPointer sendToEngine(const Flight& flight, const Backend& engine)
    {
        auto body = this->bodyOf(flight);
        body["cache_salt"] = QString::fromStdString(this->saltOf(flight.shot->organisation));
        return this->observer.post(
            engine.direct(), "/v1/completions", QJsonDocument(body).toJson(QJsonDocument::Compact).toStdString());
    }

    /// The usage that a stream bore: on its first event from an engine, on its last from an entry.
    static QJsonObject usageOf(const Answer& answer)
    {
        for (const auto& line : QString::fromStdString(answer.body).split('\n')) {
            const auto event = QJsonDocument::fromJson(line.mid(6).toUtf8()).object();
            if (event.contains("usage"))
                return event["usage"].toObject();
        }
        return {};
    }

    QJsonObject summary()
    {
        double prompt = 0;
        double cached = 0;
        double wasted = 0;
        int failed = 0;
        std::vector<double> first;
        std::vector<double> firstLong;
        for (const auto& flight : this->flights) {
            const auto usage = flight->answer ? usageOf(*flight->answer) : QJsonObject();
            if (usage.isEmpty()) {
                ++failed;
                if (flight->answer)
                    std::cerr << "failed: status " << flight->answer->status << ": "
                              << flight->answer->body.substr(0, 300) << "\n";
                continue;
            }
            const auto hit = usage["prompt_tokens_details"].toObject()["cached_tokens"].toInt();
            prompt += usage["prompt_tokens"].toInt();
            cached += hit;
            wasted += std::max(0, static_cast<int>(flight->bestCached) - hit);
            const std::chrono::duration<double, std::milli> took = flight->answer->firstByteAt - flight->answer->sentAt;
            first.push_back(took.count());
            if (flight->shot->isLong)
                firstLong.push_back(took.count());
        }
        const auto at = [](std::vector<double>& values, double share) {
            std::sort(values.begin(), values.end());
            return values.empty()
                ? 0.0
                : std::round(values[static_cast<size_t>(share * static_cast<double>(values.size() - 1))] * 10) / 10;
        };
        return { { "policy", QString::fromStdString(this->policy.name) },
            { "seed", static_cast<int>(this->workload.seed) }, { "requests", static_cast<int>(this->flights.size()) },
            { "failed", failed }, { "hit_rate", std::round(cached / prompt * 10000) / 10000 },
            { "wasted_tokens", wasted }, { "ttft_p50_ms", at(first, 0.5) }, { "ttft_p95_ms", at(first, 0.95) },
            { "ttft_p99_ms", at(first, 0.99) }, { "long_p99_ms", at(firstLong, 0.99) } };
    }

    Workload workload;
    Policy policy;
    std::vector<Shot> shots;
    Site site;
    Caller observer { "" };
    std::vector<std::unique_ptr<Caller>> callers;
    std::vector<Backend*> live;
    std::vector<std::unique_ptr<Flight>> flights;
    size_t launched = 0;
};

}

int main(int argc, char** argv)
{
    Workload workload;
    uint32_t seeds = 3;
    uint32_t firstSeed = 1;
    std::string prefer;
    std::vector<std::string> names;
    options::options_description description("measure [options]");
    description.add_options()("policy", options::value(&names)->multitoken(), "policies, or oracle; all by default")(
        "seeds", options::value(&seeds)->default_value(3), "how many seeds")("first-seed",
        options::value(&firstSeed)->default_value(1),
        "the first of them")("seconds", options::value(&workload.seconds)->default_value(20), "length of the workload")(
        "surveys", options::value(&workload.surveysPerSecond)->default_value(50), "long prompts a second")(
        "questions", options::value(&workload.questionsPerSecond)->default_value(25), "short prompts a second")(
        "prefer", options::value(&prefer)->default_value("latency"), "the route's preference")(
        "entries", options::value(&workload.entries)->default_value(3), "entry instances")("lose-engine",
        options::bool_switch(&workload.loseEngine), "kill an engine half-way")("help", "print this help");
    options::variables_map given;
    try {
        options::store(options::parse_command_line(argc, argv, description), given);
        options::notify(given);
    } catch (const options::error& failure) {
        std::cerr << "measure: " << failure.what() << "\n" << description;
        return 2;
    }
    if (given.count("help")) {
        std::cout << description;
        return 0;
    }
    if (names.empty())
        names = { "oracle", "expected-first-token", "bounded-hash", "two-choices", "least-loaded", "round-robin" };
    const Application application;
    for (uint32_t seed = firstSeed; seed < firstSeed + seeds; ++seed) {
        workload.seed = seed;
        for (const auto& name : names) {
            Run run(workload, { name, name == "oracle" }, prefer);
            std::cout << QJsonDocument(run.measure()).toJson(QJsonDocument::Compact).toStdString() << std::endl;
        }
    }
    return 0;
}

// Replays a seeded workload against entry instances with different routing policies, and against an
// oracle that knows the exact state of every cache and queue. Prints one JSON line for each policy and seed.

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

/// Parameters of the workload. A token is four bytes, as in the engine stand-in.
struct Workload {
    uint32_t seed = 1;
    double seconds = 20; ///< duration
    double longPerSecond = 50; ///< rate of requests with long prompts, which share prefixes
    double shortPerSecond = 25; ///< rate of requests with short prompts
    int organisations = 8;
    int documentsPerOrganisation = 30;
    uint32_t commonTokens = 3000; ///< prefix common to the long prompts of all organisations
    uint32_t organisationTokens = 1200; ///< prefix common to the long prompts of one organisation
    uint32_t documentTokens = 800; ///< document that several long prompts share
    uint32_t tailTokens = 60; ///< unique end of every prompt
    uint32_t answerTokens = 12;
    bool shiftPopularity = true; ///< other documents and organisations become popular half-way
    bool killEngine = false; ///< an engine is killed half-way
    size_t entries = 3; ///< instances that share the requests
};

/// A request of the workload.
struct WorkloadRequest {
    milliseconds sendAt { 0 }; ///< time of sending, from the start of the run
    int organisation = 0;
    std::string prompt;
    bool isLong = false;
};

/// Deterministic text of @p tokens tokens, different for each @p name.
std::string fillerText(const std::string& name, uint32_t tokens)
{
    std::mt19937 random(static_cast<uint32_t>(fastHash(name)));
    std::string text;
    while (text.size() < tokens * 4)
        text += name + " rule " + std::to_string(random() % 100000) + ". ";
    text.resize(tokens * 4);
    return text;
}

/// Draws an index below @p count from a Zipf distribution: rank r has a probability proportional to 1 / r.
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

std::vector<WorkloadRequest> makeRequests(const Workload& workload)
{
    std::mt19937 random(workload.seed);
    const auto common = fillerText("code", workload.commonTokens);
    std::vector<WorkloadRequest> plannedRequests;
    std::exponential_distribution<> interarrival(workload.longPerSecond + workload.shortPerSecond);
    const auto longShare = workload.longPerSecond / (workload.longPerSecond + workload.shortPerSecond);
    for (double time = interarrival(random); time < workload.seconds; time += interarrival(random)) {
        const bool shifted = workload.shiftPopularity && time > workload.seconds / 2;
        WorkloadRequest planned;
        planned.sendAt = milliseconds(static_cast<int64_t>(time * 1000));
        planned.organisation = (zipf(random, workload.organisations) + (shifted ? 3 : 0)) % workload.organisations;
        planned.isLong = std::uniform_real_distribution<>(0, 1)(random) < longShare;
        const auto unique = fillerText("tail-" + std::to_string(random()), workload.tailTokens);
        if (planned.isLong) {
            const auto document = (zipf(random, workload.documentsPerOrganisation) + (shifted ? 11 : 0))
                % workload.documentsPerOrganisation;
            const auto name = "organisation-" + std::to_string(planned.organisation);
            planned.prompt = common + fillerText(name, workload.organisationTokens)
                + fillerText(name + "-house-" + std::to_string(document), workload.documentTokens) + unique;
        } else {
            planned.prompt = unique;
        }
        plannedRequests.push_back(std::move(planned));
    }
    return plannedRequests;
}

struct PeekedEngine {
    uint32_t cachedTokens = 0;
    uint32_t queuedTokens = 0;
    int64_t slotWaitUs = 0;
};

/// State of one request during the run.
struct RequestState {
    const WorkloadRequest* planned = nullptr;
    std::vector<AnswerPointer> peeks; ///< of each live engine; cleared when the request is sent
    uint32_t bestCached = 0; ///< most cached tokens of the prompt on any live engine when the request was sent
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
        , plannedRequests(makeRequests(workload))
        , site(this->optionsFor(prefer))
    {
        for (int i = 0; i < workload.organisations; ++i)
            this->callers.push_back(std::make_unique<Caller>(keyOf(i)));
        for (size_t i = 0; !policy.isOracle && i < workload.entries; ++i)
            this->site.startEntry();
        for (const auto& engine : this->site.engines)
            this->liveEngines.push_back(engine.get());
    }

    QJsonObject measure()
    {
        const auto start = Clock::now();
        bool isKillDone = !this->workload.killEngine;
        for (const auto& planned : this->plannedRequests) {
            while (Clock::now() < start + planned.sendAt) {
                this->sendPeeked();
                runFor(milliseconds(1));
            }
            if (!isKillDone && planned.sendAt.count() > this->workload.seconds * 500) {
                isKillDone = true;
                this->liveEngines.front()->process->kill();
                this->liveEngines.erase(this->liveEngines.begin());
            }
            this->peek(planned);
        }
        const auto ended = [this] {
            this->sendPeeked();
            return std::all_of(this->states.begin(), this->states.end(),
                [](const auto& state) { return state->answer && state->answer->ended; });
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

    /// Queries all live engines for their exact state, before the request is sent.
    void peek(const WorkloadRequest& planned)
    {
        auto state = std::make_unique<RequestState>();
        state->planned = &planned;
        const QJsonObject body { { "prompt", QString::fromStdString(planned.prompt) },
            { "cache_salt", QString::fromStdString(this->saltOf(planned.organisation)) } };
        const auto text = QJsonDocument(body).toJson(QJsonDocument::Compact).toStdString();
        for (const auto* engine : this->liveEngines)
            state->peeks.push_back(this->engineCaller.post(engine->direct(), "/peek", text));
        this->states.push_back(std::move(state));
    }

    /// Sends, in order, the requests for which all engines have answered the peek.
    void sendPeeked()
    {
        for (; this->sentRequests < this->states.size(); ++this->sentRequests) {
            auto& state = *this->states[this->sentRequests];
            if (!std::all_of(state.peeks.begin(), state.peeks.end(), [](const auto& answer) { return answer->ended; }))
                return;
            this->sendRequest(state);
        }
    }

    void sendRequest(RequestState& state)
    {
        size_t best = 0;
        double bestTime = INFINITY;
        const auto tokens = state.planned->prompt.size() / 4.0;
        for (size_t i = 0; i < state.peeks.size(); ++i) {
            const auto exactState = state.peeks[i]->json();
            if (!state.peeks[i]->whole)
                continue;
            const auto cached = static_cast<uint32_t>(exactState["cached_tokens"].toInt());
            state.bestCached = std::max(state.bestCached, cached);
            const auto time = (exactState["queued_tokens"].toInt() + tokens - cached) * prefillMicroseconds
                + static_cast<double>(exactState["slot_wait_us"].toInteger());
            if (time < bestTime) {
                bestTime = time;
                best = i;
            }
        }
        state.answer = this->policy.isOracle
            ? this->sendToEngine(state, *this->liveEngines[std::min(best, this->liveEngines.size() - 1)])
            : this->sendToEntry(state);
        state.peeks.clear();
    }

    QJsonObject bodyOf(const RequestState& state) const
    {
        return { { "model", "assistant" }, { "prompt", QString::fromStdString(state.planned->prompt) },
            { "max_tokens", static_cast<int>(this->workload.answerTokens) }, { "stream", true },
            { "stream_options", QJsonObject { { "include_usage", true } } } };
    }

    AnswerPointer sendToEntry(const RequestState& state)
    {
        const auto entry = this->sentRequests % this->workload.entries;
        return this->callers[static_cast<size_t>(state.planned->organisation)]->post(this->site.entry(entry),
            "/v1/completions", QJsonDocument(this->bodyOf(state)).toJson(QJsonDocument::Compact).toStdString());
    }

    AnswerPointer sendToEngine(const RequestState& state, const Backend& engine)
    {
        auto body = this->bodyOf(state);
        body["cache_salt"] = QString::fromStdString(this->saltOf(state.planned->organisation));
        return this->engineCaller.post(
            engine.direct(), "/v1/completions", QJsonDocument(body).toJson(QJsonDocument::Compact).toStdString());
    }

    /// Token usage reported in a stream: in the first event from an engine, in the last from an entry instance.
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
        std::vector<double> firstTokenMs;
        std::vector<double> longFirstTokenMs;
        for (const auto& state : this->states) {
            const auto usage = state->answer ? usageOf(*state->answer) : QJsonObject();
            if (usage.isEmpty()) {
                ++failed;
                if (state->answer)
                    std::cerr << "failed: status " << state->answer->status << ": "
                              << state->answer->body.substr(0, 300) << "\n";
                continue;
            }
            const auto hit = usage["prompt_tokens_details"].toObject()["cached_tokens"].toInt();
            prompt += usage["prompt_tokens"].toInt();
            cached += hit;
            wasted += std::max(0, static_cast<int>(state->bestCached) - hit);
            const std::chrono::duration<double, std::milli> timeToFirstToken
                = state->answer->firstByteAt - state->answer->sentAt;
            firstTokenMs.push_back(timeToFirstToken.count());
            if (state->planned->isLong)
                longFirstTokenMs.push_back(timeToFirstToken.count());
        }
        const auto quantile = [](std::vector<double>& values, double fraction) {
            std::sort(values.begin(), values.end());
            return values.empty()
                ? 0.0
                : std::round(values[static_cast<size_t>(fraction * static_cast<double>(values.size() - 1))] * 10) / 10;
        };
        return { { "policy", QString::fromStdString(this->policy.name) },
            { "seed", static_cast<int>(this->workload.seed) }, { "requests", static_cast<int>(this->states.size()) },
            { "failed", failed }, { "hit_rate", std::round(cached / prompt * 10000) / 10000 },
            { "wasted_tokens", wasted }, { "ttft_p50_ms", quantile(firstTokenMs, 0.5) },
            { "ttft_p95_ms", quantile(firstTokenMs, 0.95) }, { "ttft_p99_ms", quantile(firstTokenMs, 0.99) },
            { "long_p99_ms", quantile(longFirstTokenMs, 0.99) } };
    }

    Workload workload;
    Policy policy;
    std::vector<WorkloadRequest> plannedRequests;
    Site site;
    Caller engineCaller { "" };
    std::vector<std::unique_ptr<Caller>> callers;
    std::vector<Backend*> liveEngines;
    std::vector<std::unique_ptr<RequestState>> states;
    size_t sentRequests = 0; ///< requests sent so far
};

}

int main(int argc, char** argv)
{
    Workload workload;
    uint32_t seeds = 3;
    uint32_t initialSeed = 1;
    std::string prefer;
    std::vector<std::string> names;
    options::options_description description("measure [options]");
    description.add_options()("policy", options::value(&names)->multitoken(),
        "routing policies, or oracle; all by default")("seeds", options::value(&seeds)->default_value(3),
        "number of seeds")("first-seed", options::value(&initialSeed)->default_value(1), "initial seed")(
        "seconds", options::value(&workload.seconds)->default_value(20), "duration of the workload")("surveys",
        options::value(&workload.longPerSecond)->default_value(50),
        "requests with long prompts per second")("questions",
        options::value(&workload.shortPerSecond)->default_value(25), "requests with short prompts per second")(
        "prefer", options::value(&prefer)->default_value("latency"), "preference of the route")(
        "entries", options::value(&workload.entries)->default_value(3), "number of entry instances")("lose-engine",
        options::bool_switch(&workload.killEngine), "kill an engine half-way")("help", "print this help");
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
    for (uint32_t seed = initialSeed; seed < initialSeed + seeds; ++seed) {
        workload.seed = seed;
        for (const auto& name : names) {
            Run run(workload, { name, name == "oracle" }, prefer);
            std::cout << QJsonDocument(run.measure()).toJson(QJsonDocument::Compact).toStdString() << std::endl;
        }
    }
    return 0;
}

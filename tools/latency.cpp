// Measures the latency that an entry instance adds to the time to first token, by alternating direct and routed
// requests in one run, and its throughput of small streamed requests. Prints one JSON line for each measurement.

#include "tests/support/Site.h"

#include <QEventLoop>
#include <QJsonDocument>
#include <QThread>
#include <algorithm>
#include <boost/program_options.hpp>
#include <iostream>

namespace {

namespace options = boost::program_options;
using namespace testing;
using namespace dragonfly;

const std::string smallBody = R"({"model":"assistant","prompt":"A short question.","max_tokens":4,"stream":true})";
constexpr double microsecondsPerSecond = 1e6;
constexpr int warmUpRounds = 3;

/// Closed-loop load: keeps a fixed number of requests in flight on persistent connections, in the event loop of its
/// thread.
class LoadGenerator : public QObject {
public:
    LoadGenerator(std::vector<Endpoint> endpoints, int concurrency, int requests)
        : endpoints(std::move(endpoints))
        , remaining(requests)
        , measuredRequests(requests - warmUpRounds * concurrency)
    {
        for (int i = 0; i < concurrency; ++i)
            this->sendNext();
    }

    std::function<void()> onFinished;
    std::vector<double> firstTokenUs;
    int failed = 0;

private:
    void sendNext()
    {
        if (!this->remaining)
            return;
        --this->remaining;
        ++this->inFlight;
        const auto start = Clock::now();
        auto hasFirstByte = std::make_shared<bool>(false);
        const bool isMeasured = this->remaining < this->measuredRequests;
        http::CallEvents events;
        events.onBody = [this, start, hasFirstByte, isMeasured](std::string_view) {
            if (!*hasFirstByte && isMeasured)
                this->firstTokenUs.push_back(
                    std::chrono::duration<double>(Clock::now() - start).count() * microsecondsPerSecond);
            *hasFirstByte = true;
        };
        events.onComplete = [this] { this->completeRequest(); };
        events.onFailure = [this](const http::CallFailure&) {
            ++this->failed;
            this->completeRequest();
        };
        const auto deadline = start + std::chrono::seconds(10);
        this->pool.send(this->endpoints[static_cast<size_t>(this->remaining) % this->endpoints.size()],
            { "POST", "/v1/completions",
                { { "Content-Type", "application/json" }, { "Authorization", std::string("Bearer ") + apiKey } },
                smallBody },
            { deadline, deadline, true }, std::move(events));
    }

    void completeRequest()
    {
        --this->inFlight;
        this->sendNext();
        if (!this->inFlight && this->onFinished)
            this->onFinished();
    }

    std::vector<Endpoint> endpoints; ///< used in rotation
    http::ClientPool pool;
    int remaining;
    int measuredRequests; ///< requests are measured once fewer than this remain, when connections are open
    int inFlight = 0;
};

/// Runs a load generator in a thread of its own.
class LoadThread : public QThread {
public:
    LoadThread(std::vector<Endpoint> endpoints, int concurrency, int requests)
        : endpoints(std::move(endpoints))
        , concurrency(concurrency)
        , requests(requests)
    {
    }

    std::vector<double> firstTokenUs;
    int failed = 0;

protected:
    void run() override
    {
        LoadGenerator generator(this->endpoints, this->concurrency, this->requests);
        QEventLoop loop;
        generator.onFinished = [&loop] { loop.quit(); };
        loop.exec();
        this->firstTokenUs = std::move(generator.firstTokenUs);
        this->failed = generator.failed;
    }

private:
    std::vector<Endpoint> endpoints;
    int concurrency;
    int requests;
};

/// Merged results of all load threads.
struct LoadResult {
    std::vector<double> firstTokenUs;
    double perSecond = 0;
    int failed = 0;
};

LoadResult runLoad(const std::vector<Endpoint>& endpoints, int threads, int concurrency, int requests)
{
    const auto start = Clock::now();
    std::vector<std::unique_ptr<LoadThread>> running;
    for (int i = 0; i < threads; ++i) {
        running.push_back(std::make_unique<LoadThread>(endpoints, concurrency / threads, requests / threads));
        running.back()->start();
    }
    LoadResult result;
    for (const auto& thread : running) {
        thread->wait();
        result.firstTokenUs.insert(result.firstTokenUs.end(), thread->firstTokenUs.begin(), thread->firstTokenUs.end());
        result.failed += thread->failed;
    }
    result.perSecond = requests / std::chrono::duration<double>(Clock::now() - start).count();
    std::sort(result.firstTokenUs.begin(), result.firstTokenUs.end());
    return result;
}

/// Value at the quantile @p fraction of @p sorted; 0 if empty.
double quantile(const std::vector<double>& sorted, double fraction)
{
    return sorted.empty() ? 0 : sorted[static_cast<size_t>(fraction * static_cast<double>(sorted.size() - 1))];
}

void print(const QJsonObject& object)
{
    std::cout << QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString() << std::endl;
}

}

int main(int argc, char** argv)
{
    int rounds = 5;
    int requests = 2000;
    options::options_description description("latency [options]");
    description.add_options()("rounds", options::value(&rounds)->default_value(5),
        "alternating rounds of direct and routed requests")("requests", options::value(&requests)->default_value(4000),
        "requests in each round")("help", "print this help");
    options::variables_map given;
    options::store(options::parse_command_line(argc, argv, description), given);
    options::notify(given);
    if (given.count("help")) {
        std::cout << description;
        return 0;
    }
    const Application application;
    SiteOptions siteOptions;
    siteOptions.enginesPerCentre = 3;
    siteOptions.servicesPerCentre = 0;
    siteOptions.withEngineProxies = false;
    siteOptions.engineArguments = QStringList { "--prefill-us", "0", "--decode-us", "0" };
    siteOptions.extraSettings = "routing: { policy: two-choices }\n";
    siteOptions.threads = 4;
    Site site(siteOptions);
    site.startEntry();
    std::vector<Endpoint> engines;
    for (const auto& engine : site.engines)
        engines.push_back(engine->direct());
    runLoad({ site.entry(0) }, 1, 16, 2000); // warms up connections and caches
    for (const int concurrency : { 1, 16, 128 }) {
        std::vector<double> directUs;
        std::vector<double> routedUs;
        for (int round = 0; round < rounds; ++round) {
            const auto direct = runLoad(engines, 1, concurrency, requests);
            const auto routed = runLoad({ site.entry(0) }, 1, concurrency, requests);
            directUs.insert(directUs.end(), direct.firstTokenUs.begin(), direct.firstTokenUs.end());
            routedUs.insert(routedUs.end(), routed.firstTokenUs.begin(), routed.firstTokenUs.end());
        }
        std::sort(directUs.begin(), directUs.end());
        std::sort(routedUs.begin(), routedUs.end());
        print({ { "concurrent", concurrency }, { "direct_p50_us", quantile(directUs, 0.5) },
            { "routed_p50_us", quantile(routedUs, 0.5) }, { "direct_p99_us", quantile(directUs, 0.99) },
            { "routed_p99_us", quantile(routedUs, 0.99) },
            { "added_p50_us", quantile(routedUs, 0.5) - quantile(directUs, 0.5) },
            { "added_p99_us", quantile(routedUs, 0.99) - quantile(directUs, 0.99) } });
    }
    const auto result = runLoad({ site.entry(0) }, 3, 96, rounds * requests * 3);
    print({ { "throughput_per_second", result.perSecond }, { "failed", result.failed },
        { "retries", site.metric(0, "dragonfly_retries_total") },
        { "routed_p99_us", quantile(result.firstTokenUs, 0.99) } });
    return 0;
}

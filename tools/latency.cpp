// What an entry instance adds: time to the first token directly and through it, alternating in one run,
// and how many small streamed requests it serves a second. Prints one JSON line for each measurement.

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

/// Keeps a number of requests under way on kept connections, in the event loop of its thread.
class Stream : public QObject {
public:
    Stream(std::vector<Endpoint> endpoints, int concurrency, int requests)
        : endpoints(std::move(endpoints))
        , left(requests)
        , warmUp(requests - warmUpRounds * concurrency)
    {
        for (int i = 0; i < concurrency; ++i)
            this->next();
    }

    std::function<void()> onEnded;
    std::vector<double> firstTokenUs;
    int failed = 0;

private:
    void next()
    {
        if (!this->left)
            return;
        --this->left;
        ++this->underWay;
        const auto begin = Clock::now();
        auto seen = std::make_shared<bool>(false);
        const bool counts = this->left < this->warmUp;
        http::CallEvents events;
        events.onBody = [this, begin, seen, counts](std::string_view) {
            if (!*seen && counts)
                this->firstTokenUs.push_back(
                    std::chrono::duration<double>(Clock::now() - begin).count() * microsecondsPerSecond);
            *seen = true;
        };
        events.onComplete = [this] { this->end(); };
        events.onFailure = [this](const http::CallFailure&) {
            ++this->failed;
            this->end();
        };
        const auto deadline = begin + std::chrono::seconds(10);
        this->pool.send(this->endpoints[static_cast<size_t>(this->left) % this->endpoints.size()],
            { "POST", "/v1/completions",
                { { "Content-Type", "application/json" }, { "Authorization", std::string("Bearer ") + apiKey } },
                smallBody },
            { deadline, deadline, true }, std::move(events));
    }

    void end()
    {
        --this->underWay;
        this->next();
        if (!this->underWay && this->onEnded)
            this->onEnded();
    }

    std::vector<Endpoint> endpoints; ///< taken in turn
    http::ClientPool pool;
    int left;
    int warmUp; ///< requests are counted once fewer than this are left: by then connections are open
    int underWay = 0;
};

/// One load thread.
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
        Stream stream(this->endpoints, this->concurrency, this->requests);
        QEventLoop loop;
        stream.onEnded = [&loop] { loop.quit(); };
        loop.exec();
        this->firstTokenUs = std::move(stream.firstTokenUs);
        this->failed = stream.failed;
    }

private:
    std::vector<Endpoint> endpoints;
    int concurrency;
    int requests;
};

struct Load {
    std::vector<double> firstTokenUs;
    double perSecond = 0;
    int failed = 0;
};

Load run(const std::vector<Endpoint>& endpoints, int threads, int concurrency, int requests)
{
    const auto begin = Clock::now();
    std::vector<std::unique_ptr<LoadThread>> running;
    for (int i = 0; i < threads; ++i) {
        running.push_back(std::make_unique<LoadThread>(endpoints, concurrency / threads, requests / threads));
        running.back()->start();
    }
    Load load;
    for (const auto& thread : running) {
        thread->wait();
        load.firstTokenUs.insert(load.firstTokenUs.end(), thread->firstTokenUs.begin(), thread->firstTokenUs.end());
        load.failed += thread->failed;
    }
    load.perSecond = requests / std::chrono::duration<double>(Clock::now() - begin).count();
    std::sort(load.firstTokenUs.begin(), load.firstTokenUs.end());
    return load;
}

double at(const std::vector<double>& sorted, double share)
{
    return sorted.empty() ? 0 : sorted[static_cast<size_t>(share * static_cast<double>(sorted.size() - 1))];
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
    description.add_options()(
        "rounds", options::value(&rounds)->default_value(5), "rounds of direct and routed, in turn")(
        "requests", options::value(&requests)->default_value(4000), "requests in each")("help", "print this help");
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
    run({ site.entry(0) }, 1, 16, 2000); // connections and caches are warm from here on
    for (const int concurrency : { 1, 16, 128 }) {
        std::vector<double> directs;
        std::vector<double> routeds;
        for (int round = 0; round < rounds; ++round) {
            const auto direct = run(engines, 1, concurrency, requests);
            const auto routed = run({ site.entry(0) }, 1, concurrency, requests);
            directs.insert(directs.end(), direct.firstTokenUs.begin(), direct.firstTokenUs.end());
            routeds.insert(routeds.end(), routed.firstTokenUs.begin(), routed.firstTokenUs.end());
        }
        std::sort(directs.begin(), directs.end());
        std::sort(routeds.begin(), routeds.end());
        print({ { "concurrent", concurrency }, { "direct_p50_us", at(directs, 0.5) },
            { "routed_p50_us", at(routeds, 0.5) }, { "direct_p99_us", at(directs, 0.99) },
            { "routed_p99_us", at(routeds, 0.99) }, { "added_p50_us", at(routeds, 0.5) - at(directs, 0.5) },
            { "added_p99_us", at(routeds, 0.99) - at(directs, 0.99) } });
    }
    const auto load = run({ site.entry(0) }, 3, 96, rounds * requests * 3);
    print({ { "throughput_per_second", load.perSecond }, { "failed", load.failed },
        { "retries", site.metric(0, "dragonfly_retries_total") }, { "routed_p99_us", at(load.firstTokenUs, 0.99) } });
    return 0;
}

// Stand-in for a model engine: continuous batching, a prefix cache, streaming, priorities, resume, cancel.
//
// The answer is determined by prompt and weights, so that a caller can check every token.
// GET /control returns statistics; POST /control accepts {"leaving": bool},
// {"weights": text}, {"refuse": bool}, {"silent_after_tokens": N}, {"ignore_salt": bool}.

#include "standins/PrefixCache.h"
#include "standins/Program.h"
#include "standins/Tokens.h"

#include <QJsonArray>
#include <QTimer>
#include <deque>

namespace {

using namespace standins;
using dragonfly::Clock;
using std::chrono::microseconds;
using std::chrono::milliseconds;

struct Settings {
    uint16_t port = 0;
    std::string weights;
    size_t slots = 0; ///< maximum number of running requests, in prefill or decode
    size_t cacheBlocks = 0;
    uint32_t prefillMicroseconds = 0; ///< time to prefill one uncached token
    uint32_t decodeMicroseconds = 0; ///< interval between two tokens of one answer
    uint32_t loadLagMs = 0; ///< interval at which the reported load is updated
};

struct Job {
    http::ExchangePointer exchange;
    bool isChat = false;
    std::string id;
    std::string model;
    std::string prompt;
    uint64_t salt = 0;
    uint32_t priority = 0;
    uint32_t promptTokens = 0;
    uint32_t cachedTokens = 0;
    bool prefillStarted = false;
    double remainingPrefillTokens = 0; ///< uncached prompt tokens left to prefill
    uint32_t nextToken = 0; ///< index of the next token to emit
    uint32_t endToken = 0; ///< index after the last token
    bool streamStarted = false; ///< the response has begun
    Clock::time_point nextTokenAt;
};

using JobPointer = std::shared_ptr<Job>;

class Engine {
public:
    explicit Engine(const Settings& settings)
        : settings(settings)
        , weights(settings.weights)
        , incarnation(dragonfly::randomId())
        , cache(settings.cacheBlocks)
        , lastTick(Clock::now())
    {
        this->timer.setTimerType(Qt::PreciseTimer);
        QObject::connect(&this->timer, &QTimer::timeout, [this] { this->tick(); });
        this->loadTimer.start(milliseconds(std::max(1u, settings.loadLagMs)));
        QObject::connect(&this->loadTimer, &QTimer::timeout, [this] { this->reportedTokens = this->queuedTokens(); });
    }

    void handle(const http::ExchangePointer& exchange)
    {
        const auto& request = exchange->request();
        if (request.target == "/control")
            this->control(*exchange);
        else if (request.target == "/peek")
            this->peek(*exchange);
        else if (request.target == "/health")
            exchange->respond(200, this->headers("text/plain"), "ok\n");
        else if (request.target == "/v1/completions" || request.target == "/v1/chat/completions")
            this->complete(exchange);
        else
            exchange->respond(404, this->headers("text/plain"), "no such path\n");
    }

private:
    http::Headers headers(const char* type) const
    {
        http::Headers headers { { "Content-Type", type }, { "X-Target-Incarnation", this->incarnation },
            { "X-Target-Weights", this->weights }, { "X-Target-Queued-Tokens", std::to_string(this->reportedTokens) } };
        if (this->leaving)
            headers.add("X-Target-State", "leaving");
        return headers;
    }

    void refuse(http::Exchange& exchange, int status, const char* reason)
    {
        auto headers = this->headers("text/plain");
        headers.add("X-Request-Id", exchange.request().headers.valueOr("X-Request-Id", ""));
        headers.add("Dragonfly-Execution", "not-run");
        exchange.respond(status, headers, reason);
    }

    void complete(const http::ExchangePointer& exchange)
    {
        const auto body = parseJson(exchange->request().body);
        ++this->requests;
        if (this->leaving)
            ++this->requestsWhileLeaving;
        if (this->refusing) {
            this->refuse(*exchange, 503, "busy\n");
            return;
        }
        if (body.contains("expected_weights") && body["expected_weights"].toString().toStdString() != this->weights) {
            this->refuse(*exchange, 409, "other weights\n");
            return;
        }
        auto job = std::make_shared<Job>();
        job->exchange = exchange;
        job->isChat = exchange->request().target == "/v1/chat/completions";
        job->id = body["request_id"].toString().toStdString();
        job->model = body["model"].toString().toStdString();
        job->prompt = promptOf(body);
        job->salt = this->ignoreSalt ? 0 : dragonfly::fastHash(body["cache_salt"].toString().toStdString());
        job->priority = static_cast<uint32_t>(body["priority"].toInt());
        job->promptTokens
            = static_cast<uint32_t>((job->prompt.size() + PrefixCache::bytesPerToken - 1) / PrefixCache::bytesPerToken);
        job->nextToken = static_cast<uint32_t>(body["resume"].toObject()["tokens"].toInt());
        job->endToken = static_cast<uint32_t>(body["max_tokens"].toInt(16));
        exchange->onCallerGone = [this, weak = std::weak_ptr(job)] { this->cancel(weak.lock()); };
        this->waiting.push_back(job);
        if (this->answersImmediately()) {
            while (!this->waiting.empty() || !this->running.empty())
                this->tick();
            return;
        }
        this->startTimer();
    }

    /// True if prefill and decode take no time: an answer is then written at once, so that benchmarks measure only
    /// the overhead of the router.
    bool answersImmediately() const
    {
        return !this->settings.prefillMicroseconds && !this->settings.decodeMicroseconds;
    }

    uint32_t uncachedTokens(const Job& job) const
    {
        return job.promptTokens - std::min(job.promptTokens, this->cache.peekTokens(job.prompt, job.salt));
    }

    /// Returns the exact state that an oracle policy uses: cached tokens of the prompt, queue length, wait for a slot.
    void peek(http::Exchange& exchange)
    {
        const auto body = parseJson(exchange.request().body);
        const auto salt = dragonfly::fastHash(body["cache_salt"].toString().toStdString());
        double queued = 0;
        for (const auto& job : this->running)
            queued += job->prefillStarted ? job->remainingPrefillTokens : this->uncachedTokens(*job);
        for (const auto& job : this->waiting)
            queued += this->uncachedTokens(*job);
        uint32_t minRemainingTokens = 0;
        if (this->running.size() >= this->settings.slots) {
            minRemainingTokens = ~0u;
            for (const auto& job : this->running)
                minRemainingTokens = std::min(minRemainingTokens, job->endToken - job->nextToken);
        }
        respondJson(exchange, 200,
            { { "cached_tokens", static_cast<int>(this->cache.peekTokens(promptOf(body), salt)) },
                { "queued_tokens", static_cast<int>(queued) },
                { "slot_wait_us", static_cast<qint64>(minRemainingTokens) * this->settings.decodeMicroseconds } });
    }

    static std::string promptOf(const QJsonObject& body)
    {
        if (body.contains("prompt"))
            return body["prompt"].toString().toStdString();
        std::string prompt;
        for (const auto& item : body["messages"].toArray()) {
            const auto message = item.toObject();
            prompt
                += message["role"].toString().toStdString() + "\n" + message["content"].toString().toStdString() + "\n";
        }
        return prompt;
    }

    void cancel(const JobPointer& job)
    {
        if (!job)
            return;
        const auto before = this->waiting.size() + this->running.size();
        std::erase(this->waiting, job);
        std::erase(this->running, job);
        this->cancelled += before != this->waiting.size() + this->running.size();
    }

    void startTimer()
    {
        if (this->timer.isActive())
            return;
        this->lastTick = Clock::now();
        this->timer.start(milliseconds(1));
    }

    void tick()
    {
        const auto now = Clock::now();
        this->admit();
        this->prefill(std::chrono::duration<double, std::micro>(now - this->lastTick).count()
            / this->settings.prefillMicroseconds);
        this->decode(now);
        this->lastTick = now;
        if (this->waiting.empty() && this->running.empty())
            this->timer.stop();
    }

    /// Moves waiting jobs into free slots, most urgent first.
    void admit()
    {
        while (this->running.size() < this->settings.slots && !this->waiting.empty()) {
            const auto first = std::min_element(this->waiting.begin(), this->waiting.end(),
                [](const JobPointer& a, const JobPointer& b) { return a->priority < b->priority; });
            const auto job = *first;
            this->waiting.erase(first);
            this->running.push_back(job);
        }
    }

    /// Looks up the cached prefix only when prefill starts: prompts that were prefilled earlier are cached by then.
    void startPrefill(Job& job)
    {
        job.prefillStarted = true;
        job.cachedTokens = this->cache.cachedTokens(job.prompt, job.salt);
        job.remainingPrefillTokens = this->uncachedTokens(job);
        this->promptTokens += job.promptTokens;
        this->cachedTokens += job.cachedTokens;
    }

    void prefill(double tokens)
    {
        for (const auto& job : this->running) {
            if (!job->prefillStarted)
                this->startPrefill(*job);
            else if (job->remainingPrefillTokens <= 0)
                continue;
            const auto step = this->settings.prefillMicroseconds ? std::min(tokens, job->remainingPrefillTokens)
                                                                 : job->remainingPrefillTokens;
            job->remainingPrefillTokens -= step;
            tokens -= step;
            if (job->remainingPrefillTokens > 0)
                return;
            this->cache.insert(job->prompt, job->salt);
        }
    }

    void decode(Clock::time_point now)
    {
        const auto jobs = this->running;
        for (const auto& job : jobs) {
            if (!job->prefillStarted || job->remainingPrefillTokens > 0
                || (job->streamStarted && now < job->nextTokenAt))
                continue;
            if (this->silentAfterTokens && job->nextToken >= this->silentAfterTokens)
                continue;
            this->emitToken(*job);
            job->nextTokenAt = now + microseconds(this->settings.decodeMicroseconds);
            if (job->nextToken >= job->endToken)
                this->finish(job);
        }
    }

    QJsonObject usage(const Job& job) const
    {
        return { { "prompt_tokens", static_cast<int>(job.promptTokens) },
            { "completion_tokens", static_cast<int>(job.nextToken) },
            { "prompt_tokens_details", QJsonObject { { "cached_tokens", static_cast<int>(job.cachedTokens) } } } };
    }

    void emitToken(Job& job)
    {
        if (!job.streamStarted)
            job.exchange->beginStream(200, this->headers("text/event-stream"));
        const auto text = QString::fromStdString(tokenText(job.prompt, this->weights, job.nextToken));
        QJsonObject choice { { "index", 0 },
            { "finish_reason", job.nextToken + 1 >= job.endToken ? QJsonValue("length") : QJsonValue() } };
        if (job.isChat)
            choice["delta"] = QJsonObject { { "content", text } };
        else
            choice["text"] = text;
        QJsonObject event { { "id", QString::fromStdString(job.id) }, { "model", QString::fromStdString(job.model) },
            { "object", job.isChat ? "chat.completion.chunk" : "text_completion" },
            { "choices", QJsonArray { choice } }, { "token_index", static_cast<int>(job.nextToken) } };
        if (!job.streamStarted)
            event["usage"] = this->usage(job);
        job.streamStarted = true;
        ++job.nextToken;
        job.exchange->write("data: " + toJson(event) + "\n\n");
    }

    void finish(const JobPointer& job)
    {
        std::erase(this->running, job);
        ++this->completed;
        job->exchange->onCallerGone = nullptr;
        job->exchange->write("data: [DONE]\n\n");
        job->exchange->finish();
    }

    uint32_t queuedTokens() const
    {
        double tokens = 0;
        for (const auto& job : this->running)
            tokens += job->prefillStarted ? job->remainingPrefillTokens : this->uncachedTokens(*job);
        for (const auto& job : this->waiting)
            tokens += this->uncachedTokens(*job);
        return static_cast<uint32_t>(tokens);
    }

    void control(http::Exchange& exchange)
    {
        const auto command = parseJson(exchange.request().body);
        if (command.contains("leaving"))
            this->leaving = command["leaving"].toBool();
        if (command.contains("refuse"))
            this->refusing = command["refuse"].toBool();
        if (command.contains("ignore_salt"))
            this->ignoreSalt = command["ignore_salt"].toBool();
        if (command.contains("silent_after_tokens"))
            this->silentAfterTokens = static_cast<uint32_t>(command["silent_after_tokens"].toInt());
        if (command.contains("weights")) {
            this->weights = command["weights"].toString().toStdString();
            this->cache.clear();
        }
        respondJson(exchange, 200,
            { { "requests", static_cast<qint64>(this->requests) },
                { "completed", static_cast<qint64>(this->completed) },
                { "cancelled", static_cast<qint64>(this->cancelled) },
                { "requests_while_leaving", static_cast<qint64>(this->requestsWhileLeaving) },
                { "running", static_cast<qint64>(this->running.size()) },
                { "waiting", static_cast<qint64>(this->waiting.size()) },
                { "prompt_tokens", static_cast<qint64>(this->promptTokens) },
                { "cached_tokens", static_cast<qint64>(this->cachedTokens) },
                { "cached_blocks", static_cast<qint64>(this->cache.size()) },
                { "evictions", static_cast<qint64>(this->cache.evictions()) },
                { "incarnation", QString::fromStdString(this->incarnation) } });
    }

    Settings settings;
    std::string weights;
    std::string incarnation;
    PrefixCache cache;
    std::deque<JobPointer> waiting;
    std::vector<JobPointer> running;
    QTimer timer;
    QTimer loadTimer;
    Clock::time_point lastTick;
    uint32_t reportedTokens = 0;
    bool leaving = false;
    bool refusing = false;
    bool ignoreSalt = false;
    uint32_t silentAfterTokens = 0; ///< index of the token at which answers stall; 0 for never
    uint64_t requests = 0;
    uint64_t requestsWhileLeaving = 0;
    uint64_t completed = 0;
    uint64_t cancelled = 0;
    uint64_t promptTokens = 0;
    uint64_t cachedTokens = 0;
};

}

int main(int argc, char** argv)
{
    Settings settings;
    options::options_description description("standin-engine");
    description.add_options()(
        "port", options::value(&settings.port)->default_value(0), "port to listen on; 0 selects a free port")(
        "weights", options::value(&settings.weights)->default_value("w1"), "version of the weights")("slots",
        options::value(&settings.slots)->default_value(16), "maximum number of running requests")("cache-blocks",
        options::value(&settings.cacheBlocks)->default_value(4096),
        "capacity of the prefix cache in blocks of 16 tokens")("prefill-us",
        options::value(&settings.prefillMicroseconds)->default_value(50), "time to prefill one uncached token")(
        "decode-us", options::value(&settings.decodeMicroseconds)->default_value(5000),
        "interval between two tokens of an answer")("load-lag-ms",
        options::value(&settings.loadLagMs)->default_value(500), "interval at which the reported load is updated");
    if (!parseOptions(argc, argv, description))
        return 2;
    QCoreApplication application(argc, argv);
    Engine engine(settings);
    http::ServerLimits limits;
    http::Server server(limits, [&engine](const http::ExchangePointer& exchange) { engine.handle(exchange); });
    if (!listenAndPrint(server, settings.port))
        return 1;
    return QCoreApplication::exec();
}

// Stand-in for a model engine: continuous batching, a prefix cache, streaming, priorities, resume, cancel.
//
// The answer to a prompt is a fixed sequence of tokens that follows from prompt and weights, so that a
// caller can check every token. GET /control gives statistics; POST /control takes {"leaving": bool},
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
    size_t slots = 0; ///< prompts decoded or prefilled at the same time
    size_t cacheBlocks = 0;
    uint32_t prefillMicroseconds = 0; ///< for each token that is not cached
    uint32_t decodeMicroseconds = 0; ///< between two tokens of one answer
    uint32_t loadLagMs = 0; ///< how old the reported load is
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
    bool prefillBegun = false;
    double prefillLeft = 0; ///< tokens
    uint32_t next = 0; ///< index of the next token
    uint32_t end = 0;
    bool started = false;
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

    void refuse(http::Exchange& exchange, int status, const char* why)
    {
        auto headers = this->headers("text/plain");
        headers.add("Dragonfly-Execution", "not-run");
        exchange.respond(status, headers, why);
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
        job->next = static_cast<uint32_t>(body["resume"].toObject()["tokens"].toInt());
        job->end = static_cast<uint32_t>(body["max_tokens"].toInt(16));
        exchange->onCallerGone = [this, weak = std::weak_ptr(job)] { this->cancel(weak.lock()); };
        this->waiting.push_back(job);
        if (this->isInstant()) {
            while (!this->waiting.empty() || !this->running.empty())
                this->tick();
            return;
        }
        this->startTimer();
    }

    /// Without prefill and decode times an answer is written in one go, to measure what is around it.
    bool isInstant() const
    {
        return !this->settings.prefillMicroseconds && !this->settings.decodeMicroseconds;
    }

    uint32_t uncachedTokens(const Job& job) const
    {
        return job.promptTokens - std::min(job.promptTokens, this->cache.peekTokens(job.prompt, job.salt));
    }

    /// What an oracle may know: what of a prompt is cached now, and the true queue before it.
    void peek(http::Exchange& exchange)
    {
        const auto body = parseJson(exchange.request().body);
        const auto salt = dragonfly::fastHash(body["cache_salt"].toString().toStdString());
        double queued = 0;
        for (const auto& job : this->running)
            queued += job->prefillBegun ? job->prefillLeft : this->uncachedTokens(*job);
        for (const auto& job : this->waiting)
            queued += this->uncachedTokens(*job);
        uint32_t shortest = 0;
        if (this->running.size() >= this->settings.slots) {
            shortest = ~0u;
            for (const auto& job : this->running)
                shortest = std::min(shortest, job->end - job->next);
        }
        respondJson(exchange, 200,
            { { "cached_tokens", static_cast<int>(this->cache.peekTokens(promptOf(body), salt)) },
                { "queued_tokens", static_cast<int>(queued) },
                { "slot_wait_us", static_cast<qint64>(shortest) * this->settings.decodeMicroseconds } });
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

    /// Moves waiting jobs into free slots, the most urgent first.
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

    /// Looks up what is cached of a prompt when its prefill begins: those before it are cached by then.
    void beginPrefill(Job& job)
    {
        job.prefillBegun = true;
        job.cachedTokens = this->cache.cachedTokens(job.prompt, job.salt);
        job.prefillLeft = this->uncachedTokens(job);
        this->promptTokens += job.promptTokens;
        this->cachedTokens += job.cachedTokens;
    }

    void prefill(double tokens)
    {
        for (const auto& job : this->running) {
            if (!job->prefillBegun)
                this->beginPrefill(*job);
            else if (job->prefillLeft <= 0)
                continue;
            const auto step
                = this->settings.prefillMicroseconds ? std::min(tokens, job->prefillLeft) : job->prefillLeft;
            job->prefillLeft -= step;
            tokens -= step;
            if (job->prefillLeft > 0)
                return;
            this->cache.insert(job->prompt, job->salt);
        }
    }

    void decode(Clock::time_point now)
    {
        const auto jobs = this->running;
        for (const auto& job : jobs) {
            if (!job->prefillBegun || job->prefillLeft > 0 || (job->started && now < job->nextTokenAt))
                continue;
            if (this->silentAfter && job->next >= this->silentAfter)
                continue;
            this->emitToken(*job);
            job->nextTokenAt = now + microseconds(this->settings.decodeMicroseconds);
            if (job->next >= job->end)
                this->finish(job);
        }
    }

    QJsonObject usage(const Job& job) const
    {
        return { { "prompt_tokens", static_cast<int>(job.promptTokens) },
            { "completion_tokens", static_cast<int>(job.next) },
            { "prompt_tokens_details", QJsonObject { { "cached_tokens", static_cast<int>(job.cachedTokens) } } } };
    }

    void emitToken(Job& job)
    {
        if (!job.started)
            job.exchange->beginStream(200, this->headers("text/event-stream"));
        const auto text = QString::fromStdString(tokenText(job.prompt, this->weights, job.next));
        QJsonObject choice { { "index", 0 },
            { "finish_reason", job.next + 1 >= job.end ? QJsonValue("length") : QJsonValue() } };
        if (job.isChat)
            choice["delta"] = QJsonObject { { "content", text } };
        else
            choice["text"] = text;
        QJsonObject event { { "id", QString::fromStdString(job.id) }, { "model", QString::fromStdString(job.model) },
            { "object", job.isChat ? "chat.completion.chunk" : "text_completion" },
            { "choices", QJsonArray { choice } }, { "token_index", static_cast<int>(job.next) } };
        if (!job.started)
            event["usage"] = this->usage(job);
        job.started = true;
        ++job.next;
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
            tokens += job->prefillBegun ? job->prefillLeft : this->uncachedTokens(*job);
        for (const auto& job : this->waiting)
            tokens += this->uncachedTokens(*job);
        return static_cast<uint32_t>(tokens);
    }

    void control(http::Exchange& exchange)
    {
        const auto order = parseJson(exchange.request().body);
        if (order.contains("leaving"))
            this->leaving = order["leaving"].toBool();
        if (order.contains("refuse"))
            this->refusing = order["refuse"].toBool();
        if (order.contains("ignore_salt"))
            this->ignoreSalt = order["ignore_salt"].toBool();
        if (order.contains("silent_after_tokens"))
            this->silentAfter = static_cast<uint32_t>(order["silent_after_tokens"].toInt());
        if (order.contains("weights")) {
            this->weights = order["weights"].toString().toStdString();
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
    uint32_t silentAfter = 0; ///< 0: never
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
    description.add_options()("port", options::value(&settings.port)->default_value(0), "0 takes any")(
        "weights", options::value(&settings.weights)->default_value("w1"), "version of the weights")(
        "slots", options::value(&settings.slots)->default_value(16), "answers at the same time")(
        "cache-blocks", options::value(&settings.cacheBlocks)->default_value(4096), "blocks of 16 tokens")(
        "prefill-us", options::value(&settings.prefillMicroseconds)->default_value(50), "for each uncached token")(
        "decode-us", options::value(&settings.decodeMicroseconds)->default_value(5000), "between two tokens")(
        "load-lag-ms", options::value(&settings.loadLagMs)->default_value(500), "age of the reported load");
    if (!readFlags(argc, argv, description))
        return 2;
    QCoreApplication application(argc, argv);
    Engine engine(settings);
    http::ServerLimits limits;
    http::Server server(limits, [&engine](const http::ExchangePointer& exchange) { engine.handle(exchange); });
    if (!listenAndPrint(server, settings.port))
        return 1;
    return QCoreApplication::exec();
}

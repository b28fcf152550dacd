#pragma once
// A small site with one plain service, the visit desk: its engines, their entries in the store, and clients.

#include "lab.h"

namespace lab {

constexpr const char* siteKey = "ctnfzs989anu6wsjnban";
constexpr const char* tenantName = "sese880";
constexpr int drainMs = 3000; ///< the site's bound
constexpr int heartbeatMs = 1200;

inline std::string deskConfig(int version)
{
    const auto route = [](const char* name, const char* prefix, const char* kind, int attempts) {
        return std::string("{\"name\":\"") + name + "\",\"host\":\"jepu9.example\",\"prefix\":\"" + prefix
            + "\",\"kind\":\"" + kind + "\",\"timeout_ms\":1500,\"target_latency_ms\":200,\"priority\":2,"
            + "\"service\":\"desk\",\"max_attempts\":" + std::to_string(attempts)
            + ",\"anonymous\":false,\"sticky\":false,\"resumable\":false}";
    };
    return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + route("r-book", "/book/", "non_idempotent", 1)
        + "," + route("r-look", "/look/", "idempotent", 2)
        + "],\"services\":[{\"name\":\"desk\",\"health_path\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\","
          "\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":"
          "3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\""
        + tenantName + "\",\"api_keys\":[\"" + siteKey + "\"],\"priority\":1,\"isolated\":false}]}";
}

/// What an engine was asked to run.
struct Run {
    std::string id;
    std::string engine;
    double at; ///< s
    bool isCut = false; ///< the engine ended before the answer
};

struct Runs {
    std::mutex mutex;
    std::vector<Run> all;
};

/// A desk engine: runs a few requests at once, queues a few more and refuses the rest.
class Desk {
public:
    Desk(std::string id, std::string zone, Store& store, Record& record, Runs& runs)
        : id(std::move(id))
        , zone(std::move(zone))
        , store(store)
        , record(record)
        , runs(runs)
        , born(std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
        , server([this](Connection& connection, const Message& request) { return this->handle(connection, request); })
    {
        std::thread([this] {
            while (!this->hasLeft) {
                this->report();
                std::this_thread::sleep_for(milliseconds(heartbeatMs));
            }
        }).detach();
    }
    /// Writes its entry; the store has accepted it when this returns.
    void report()
    {
        const std::lock_guard lock(this->entryMutex);
        if (this->hasLeft)
            return;
        this->store.put("servers/" + this->id, this->entry(",\"seq\":" + std::to_string(++this->sequence)));
        ++this->reports;
    }
    /// Its entry, of which @p last are the last fields.
    std::string entry(const std::string& last, const std::string& state = "") const
    {
        return "{\"service\":\"desk\",\"address\":\"" + this->server.address.text() + "\",\"zone\":\"" + this->zone
            + "\",\"version\":\"v1\",\"slots\":" + std::to_string(this->slots) + ",\"state\":\""
            + (!state.empty() ? state : this->isDraining ? "draining" : "ready")
            + "\",\"cold_remaining_ms\":0,\"stage\":\"unified\",\"models\":[],\"born\":" + std::to_string(this->born)
            + last + "}";
    }
    void drain()
    {
        this->isDraining = true;
        this->report();
    }
    void waitForReport() const
    {
        for (const int before = this->reports; before == this->reports;)
            std::this_thread::sleep_for(milliseconds(5));
    }
    /// Removes its entry and ends.
    void leave()
    {
        {
            const std::lock_guard lock(this->entryMutex);
            this->hasLeft = true;
            this->store.remove("servers/" + this->id);
        }
        this->hasEnded = true;
        this->server.stop();
    }

    const std::string id;
    int slots = 6;
    int queue = 6;
    std::atomic<bool> isDraining { false };
    std::atomic<int> reports { 0 };
    /// Called with the answer that is due on a connection; returns what is sent in its place.
    std::function<std::string(const Connection* connection, const std::string& answer)> spoil;

private:
    bool handle(Connection& connection, const Message& request)
    {
        const auto attempt = request.header("X-Dragonflyarch-Attempt-Id");
        if (request.target() == "/health")
            return connection.write(answerText(200, { { "X-Dragonflyarch-Instance-Id", this->id } }, ""));
        const auto expected = request.header("X-Dragonflyarch-Expect-Instance");
        if (!expected.empty() && expected != this->id)
            return this->send(connection,
                answerText(421, { { "X-Dragonflyarch-Instance-Id", this->id } }, "", "Misdirected Request"));
        const int place = ++this->present;
        if (place > this->slots + this->queue) {
            --this->present;
            this->record.line(this->id + " refuses " + attempt + " as full");
            return this->send(connection,
                answerText(503, { { "X-Dragonflyarch-Not-Executed", "1" }, { "X-Dragonflyarch-Attempt-Id", attempt } },
                    "", "Service Unavailable"));
        }
        {
            std::unique_lock lock(this->slotMutex);
            this->slotFree.wait(lock, [this] { return this->running < this->slots; });
            ++this->running;
        }
        size_t index = 0;
        {
            const std::lock_guard lock(this->runs.mutex);
            index = this->runs.all.size();
            this->runs.all.push_back({ attempt, this->id, this->record.seconds() });
        }
        this->record.line(this->id + " runs " + attempt);
        thread_local std::mt19937 random(std::random_device {}());
        const int work = std::min(110, 8 + static_cast<int>(std::exponential_distribution<>(1.0 / 10)(random)));
        std::this_thread::sleep_for(milliseconds(work));
        {
            const std::lock_guard lock(this->slotMutex);
            --this->running;
        }
        this->slotFree.notify_one();
        --this->present;
        if (this->hasEnded) {
            const std::lock_guard lock(this->runs.mutex);
            this->runs.all[index].isCut = true;
            return false;
        }
        return this->send(connection,
            answerText(200,
                { { "X-Dragonflyarch-Attempt-Id", attempt },
                    { "X-Dragonflyarch-Response-Stamp", "3e1b.07." + attempt },
                    { "X-Dragonflyarch-Instance-Load",
                        std::to_string(this->running) + ",0," + std::to_string(this->slots) } },
                "booked " + attempt + " at " + this->id));
    }
    bool send(Connection& connection, const std::string& answer)
    {
        return connection.write(this->spoil ? this->spoil(&connection, answer) : answer);
    }

    std::string zone;
    Store& store;
    Record& record;
    Runs& runs;
    int64_t born;
    std::mutex entryMutex;
    int sequence = 0;
    std::atomic<bool> hasLeft { false };
    std::atomic<bool> hasEnded { false };
    std::atomic<int> present { 0 };
    std::mutex slotMutex;
    std::condition_variable slotFree;
    int running = 0;
    Server server;
};

struct Answer {
    std::string id;
    int status;
    std::string body;
    bool isComplete;
    double sentAt;
};

/// Clients that send bookings to @p machines by turns, each on a connection that it keeps.
class Clients {
public:
    Clients(const std::vector<Machine*>& machines, Record& record, int count, milliseconds pause)
        : record(record)
    {
        for (int i = 0; i < count; ++i)
            this->threads.emplace_back([this, &machine = *machines[static_cast<size_t>(i) % machines.size()], i, pause] {
                this->work(machine, i, pause);
            });
    }
    void setPause(milliseconds pause)
    {
        this->changedPause = static_cast<int>(pause.count());
    }
    std::vector<Answer> finish()
    {
        this->isOver = true;
        for (auto& thread : this->threads)
            thread.join();
        return this->answers;
    }

private:
    void work(const Machine& machine, int number, milliseconds pause)
    {
        std::unique_ptr<Connection> connection;
        std::mt19937 random(static_cast<uint32_t>(number) + 1);
        for (int i = 0; !this->isOver; ++i) {
            const auto wait = this->changedPause ? milliseconds(this->changedPause) : pause;
            std::this_thread::sleep_for(wait * std::uniform_int_distribution<>(50, 150)(random) / 100);
            char id[32];
            std::snprintf(id, sizeof(id), "%04x%08x", number, i);
            if (!connection || connection->isClosed()) {
                const int fd = connectTo(machine.front);
                if (fd < 0)
                    continue;
                connection = std::make_unique<Connection>(fd);
            }
            Answer answer { id, 0, "", false, this->record.seconds() };
            this->record.line("client " + std::to_string(number) + " sends " + id);
            connection->write(requestText("POST", "/book/visit", id, siteKey, 3000, "visit " + answer.id));
            const auto read = connection->read(Clock::now() + milliseconds(3000), true);
            if (read) {
                answer.status = read->status;
                answer.body = read->body;
                answer.isComplete = read->isComplete;
            }
            this->record.line("client " + std::to_string(number) + " gets "
                + (read ? std::to_string(read->status) : std::string("no answer")) + " to " + id + " "
                + (read ? read->body.substr(0, 200) : ""));
            if (!read || lower(read->header("Connection")) == "close")
                connection.reset();
            {
                const std::lock_guard lock(this->mutex);
                this->answers.push_back(answer);
            }
            if (const auto after = read ? std::atof(read->header("Retry-After").c_str()) : 0; after > 0)
                std::this_thread::sleep_for(milliseconds(static_cast<int>(std::min(after, 1.0) * 1000)));
        }
    }

    Record& record;
    std::atomic<bool> isOver { false };
    std::atomic<int> changedPause { 0 };
    std::mutex mutex;
    std::vector<Answer> answers;
    std::vector<std::thread> threads;
};

}

// Case: new weights are named while all instances are restarted in turn, three times in a row.

#include "site.h"

using namespace lab;

namespace {

constexpr int machines = 6;
constexpr int engines = 9;
constexpr double gap = 1.0; ///< s, gap_s of the site's roll_term
constexpr double versionAll = 17.0; ///< s, version_all_ms of the site
constexpr int graceMs = 8000;

std::string withEngines(std::string config)
{
    const std::string services = "\"services\":[";
    config.insert(config.find(services) + services.size(),
        "{\"name\":\"lm\",\"health_path\":\"/health\",\"max_connections\":360,\"protocol\":\"h1\",\"tls\":false,"
        "\"engine\":{\"slots\":64,\"kv_capacity_tokens\":266200,\"kv_token_bytes\":18432,\"models\":[{\"name\":\"m0\"}"
        "]}},");
    const std::string routes = "\"routes\":[";
    config.insert(config.find(routes) + routes.size(),
        "{\"name\":\"r-ask\",\"host\":\"jepu9.example\",\"prefix\":\"/ask/\",\"kind\":\"streaming\",\"timeout_ms\":8000,"
        "\"target_latency_ms\":500,\"priority\":1,\"service\":\"lm\",\"max_attempts\":1,\"anonymous\":false,\"sticky\":"
        "true,\"resumable\":false,\"gap_aim_ms\":200},");
    return config;
}

/// A model engine: takes orders to load weights, which take 1.1 s.
class Engine {
public:
    Engine(int number, Store& store, Record& record)
        : id("i-e00000" + std::to_string(number))
        , zone("zone" + std::to_string(number % 3 + 1) + "-a")
        , store(store)
        , record(record)
        , born(std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
        , server([this](Connection& connection, const Message& request) { return this->handle(connection, request); })
    {
        std::thread([this] {
            while (true) {
                this->report();
                std::this_thread::sleep_for(milliseconds(heartbeatMs));
            }
        }).detach();
    }
    const std::string id;
    std::atomic<int> version { 1 };

private:
    std::string models() const
    {
        return "\"stage\":\"unified\",\"models\":[{\"name\":\"m0\",\"version\":" + std::to_string(this->version)
            + ",\"adapters\":[]}]";
    }
    void report()
    {
        const std::lock_guard lock(this->mutex);
        this->store.put("servers/" + this->id,
            "{\"service\":\"lm\",\"address\":\"" + this->server.address.text() + "\",\"zone\":\"" + this->zone
                + "\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"cold_remaining_ms\":0," + this->models()
                + ",\"born\":" + std::to_string(this->born) + ",\"seq\":" + std::to_string(++this->sequence) + "}");
    }
    bool handle(Connection& connection, const Message& request)
    {
        const auto expected = request.header("X-Dragonflyarch-Expect-Instance");
        if (!expected.empty() && expected != this->id)
            return connection.write(
                answerText(421, { { "X-Dragonflyarch-Instance-Id", this->id } }, "", "Misdirected Request"));
        if (request.target() == "/api/report")
            return connection.write(answerText(200, { { "Content-Type", "application/json" } },
                "{" + this->models() + ",\"busy\":" + (this->isBusy ? "true" : "false") + ",\"seq\":"
                    + std::to_string(this->orders) + ",\"queued\":0,\"active\":0,\"kv_used\":0,\"kv_total\":266200,"
                      "\"handles\":0,\"born\":"
                    + std::to_string(this->born) + "}"));
        if (request.target() == "/api/order")
            return connection.write(answerText(this->order(parseJson(request.body)), {}, ""));
        return connection.write(answerText(404, {}, "", "Not Found"));
    }
    int order(const Json& order)
    {
        const std::lock_guard lock(this->orderMutex);
        const auto token = order["fencing_token"].integer();
        const auto wanted = static_cast<int>(order["version"].integer());
        if (order["holder"].text.empty() || !token)
            return 400;
        if (token < this->token)
            return 412;
        this->token = token;
        if (wanted == this->version)
            return 200;
        const bool isOther = order["expected"].kind == Json::Number && order["expected"].integer() != this->orders;
        if (this->isBusy || isOther)
            return 409;
        this->isBusy = true;
        ++this->orders;
        this->record.line(order["holder"].text + " orders " + this->id + " to load version " + std::to_string(wanted));
        std::thread([this, wanted] {
            std::this_thread::sleep_for(milliseconds(1100));
            this->version = wanted;
            this->isBusy = false;
            this->report();
        }).detach();
        return 202;
    }

    std::string zone;
    Store& store;
    Record& record;
    int64_t born;
    std::mutex mutex;
    int sequence = 0;
    std::mutex orderMutex;
    std::atomic<int> orders { 0 };
    int64_t token = 0;
    std::atomic<bool> isBusy { false };
    Server server;
};

/// Stops the machine as the platform does, and starts it again after a short delay.
void restart(Machine& machine, Record& record, int number)
{
    record.line("machine " + std::to_string(number) + " gets SIGTERM");
    machine.signal(SIGTERM);
    const auto until = Clock::now() + milliseconds(graceMs);
    while (Clock::now() < until && !machine.hasEnded())
        std::this_thread::sleep_for(milliseconds(10));
    machine.end(SIGKILL);
    std::this_thread::sleep_for(milliseconds(200));
    machine.start();
    record.line("machine " + std::to_string(number) + " is started again");
}

}

int main(int argc, char** argv)
{
    if (argc != 2)
        cannotRun("expected the folder of the case");
    Record record(std::string(argv[1]) + "/record.txt");
    const auto folder = temporaryFolder();
    Store store;
    store.put("op/config", withEngines(deskConfig(7)));
    store.put("op/version/m0", "{\"model\":\"m0\",\"version\":1}");
    Runs runs;
    std::vector<std::unique_ptr<Desk>> desks;
    for (int i = 0; i < 3; ++i)
        desks.push_back(std::make_unique<Desk>(
            "i-d00000" + std::to_string(i), "zone" + std::to_string(i + 1) + "-a", store, record, runs));
    std::vector<std::unique_ptr<Engine>> all;
    for (int i = 0; i < engines; ++i)
        all.push_back(std::make_unique<Engine>(i, store, record));
    std::vector<std::unique_ptr<Machine>> entries;
    std::vector<Machine*> addresses;
    for (int i = 0; i < machines; ++i) {
        const auto zone = "zone" + std::to_string(i / 2 + 1) + "-a";
        entries.push_back(std::make_unique<Machine>("edge-" + zone + "-" + std::to_string(i % 2 + 1), zone, store,
            folder, std::map<std::string, std::string> { { "bounds.version_ms", "12000" }, { "limits.memory_mb", "110" } }));
        addresses.push_back(entries.back().get());
        if (i == 0) { // sends the orders first
            entries[0]->waitUntilReady();
            std::this_thread::sleep_for(std::chrono::seconds(1));
        }
    }
    for (const auto* machine : addresses)
        machine->waitUntilReady();
    std::this_thread::sleep_for(std::chrono::seconds(5));
    Clients clients(addresses, record, 12, milliseconds(100));
    const auto start = Clock::now();
    const auto at = [&](double seconds) {
        std::this_thread::sleep_until(start + std::chrono::duration_cast<Clock::duration>(
            std::chrono::duration<double>(seconds)));
    };
    std::atomic<bool> isOver { false };
    std::vector<std::thread> restarts;
    const auto roll = [&](int number) {
        if (!isCalm())
            restarts.emplace_back([&, number] {
                restart(*entries[static_cast<size_t>(number)], record, number);
                while (!isOver) // a process ends with the thread that started it
                    std::this_thread::sleep_for(milliseconds(100));
            });
    };
    at(2.0);
    roll(0);
    at(3.0);
    store.put("op/version/m0", "{\"model\":\"m0\",\"version\":2}");
    const double acknowledged = record.seconds();
    record.line("version 2 is named");
    for (int i = 1; i < 3 * machines; ++i) {
        at(2.0 + gap * i);
        roll(i % machines);
    }
    at(21.0);
    const double stretch = record.seconds() - acknowledged;
    int older = 0;
    for (const auto& engine : all)
        older += engine->version < 2;
    const auto answers = clients.finish();
    size_t served = 0;
    for (const auto& answer : answers)
        served += answer.status == 200;
    const bool isBroken = stretch >= versionAll && older > 1 && older * 10 > engines;
    const auto summary = std::to_string(older) + " of " + std::to_string(engines) + " engines have the older version "
        + std::to_string(stretch) + " s after the acknowledgement; " + std::to_string(served) + " of "
        + std::to_string(answers.size()) + " bookings served";
    record.line((isBroken ? "BROKEN VERSION: " : "") + summary);
    std::cout << summary << std::endl;
    isOver = true;
    for (auto& thread : restarts)
        thread.join();
    for (auto& machine : entries)
        machine->end(SIGKILL);
    finish(folder, served < 100 ? exitCannotRun : isBroken ? exitBroken : exitHeld);
}

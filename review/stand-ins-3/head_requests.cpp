// Case: clients ask for the head of an answer only (HEAD) on the channels that they keep.

#include "site.h"

using namespace lab;

namespace {

constexpr int clientCount = 10;
constexpr int headOneIn = 4; ///< one request in so many asks for the head only

/// A desk engine as HTTP/1.1 has it: its answer to HEAD is the head of its answer to GET, and no body follows.
class LookDesk {
public:
    LookDesk(std::string id, std::string zone, Store& store, Record& record)
        : id(std::move(id))
        , zone(std::move(zone))
        , store(store)
        , record(record)
        , born(std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
        , server([this](Connection& connection, const Message& request) { return this->handle(connection, request); })
    {
        std::thread([this] {
            for (int sequence = 1;; ++sequence) {
                this->store.put("servers/" + this->id,
                    "{\"service\":\"desk\",\"address\":\"" + this->server.address.text() + "\",\"zone\":\"" + this->zone
                        + "\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":0,\"stage\":"
                          "\"unified\",\"models\":[],\"born\":"
                        + std::to_string(this->born) + ",\"seq\":" + std::to_string(sequence) + "}");
                std::this_thread::sleep_for(milliseconds(heartbeatMs));
            }
        }).detach();
    }
    std::atomic<int> heads { 0 }; ///< HEAD requests answered

private:
    bool handle(Connection& connection, const Message& request)
    {
        if (request.target() == "/health")
            return connection.write(answerText(200, { { "X-Dragonflyarch-Instance-Id", this->id } }, ""));
        const auto expected = request.header("X-Dragonflyarch-Expect-Instance");
        if (!expected.empty() && expected != this->id)
            return connection.write(answerText(
                421, { { "X-Dragonflyarch-Instance-Id", this->id } }, "", "Misdirected Request"));
        const auto attempt = request.header("X-Dragonflyarch-Attempt-Id");
        std::this_thread::sleep_for(milliseconds(10));
        auto answer = answerText(200,
            { { "X-Dragonflyarch-Attempt-Id", attempt }, { "X-Dragonflyarch-Response-Stamp", "3e1b.07." + attempt } },
            "the visit of " + attempt);
        if (request.method() == "HEAD") {
            answer.erase(answer.find("\r\n\r\n") + 4);
            ++this->heads;
        }
        this->record.line(this->id + " answers " + request.method() + " " + attempt + " with 200");
        return connection.write(answer);
    }

    std::string id;
    std::string zone;
    Store& store;
    Record& record;
    int64_t born;
    Server server;
};

/// The client's end of a channel. Reads answers as HTTP/1.1 has it: an answer to HEAD ends with its head.
class Channel {
public:
    explicit Channel(int fd)
        : fd(fd)
    {
    }
    Channel(const Channel&) = delete;
    ~Channel()
    {
        ::close(this->fd);
    }
    bool send(const std::string& text)
    {
        return ::send(this->fd, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size());
    }
    /// The head of the next answer with its empty line, then, unless it answers HEAD, the body of its length.
    std::optional<std::pair<std::string, std::string>> readAnswer(bool ofHead, Clock::time_point until)
    {
        size_t end = 0;
        while ((end = this->unread.find("\r\n\r\n")) == std::string::npos) {
            if (!this->more(until))
                return std::nullopt;
        }
        const auto head = this->unread.substr(0, end + 4);
        this->unread.erase(0, head.size());
        size_t length = 0;
        if (const auto field = lower(head).find("\r\ncontent-length: "); field != std::string::npos && !ofHead)
            length = static_cast<size_t>(std::atoll(head.c_str() + field + 18));
        while (this->unread.size() < length) {
            if (!this->more(until))
                return std::nullopt;
        }
        const auto body = this->unread.substr(0, length);
        this->unread.erase(0, length);
        return std::pair(head, body);
    }
    /// What has arrived with no request waiting.
    std::string unasked()
    {
        while (this->more(Clock::now() + milliseconds(20))) { }
        return this->unread;
    }

private:
    bool more(Clock::time_point until)
    {
        const auto left = std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
        pollfd poll { this->fd, POLLIN, 0 };
        if (left <= 0 || ::poll(&poll, 1, static_cast<int>(left)) <= 0)
            return false;
        char bytes[8192];
        const auto count = ::recv(this->fd, bytes, sizeof(bytes), 0);
        if (count <= 0)
            return false;
        this->unread.append(bytes, static_cast<size_t>(count));
        return true;
    }

    int fd;
    std::string unread;
};

struct Counts {
    std::mutex mutex;
    int sent = 0;
    int served = 0;
    int heads = 0;
    int headsServed = 0;
    int noAnswer = 0; ///< bytes that are no answer in the protocol
};

void work(const Machine& machine, int number, Record& record, Counts& counts, const std::atomic<bool>& isOver)
{
    std::unique_ptr<Channel> channel;
    for (int i = 0; !isOver; ++i) {
        std::this_thread::sleep_for(milliseconds(60));
        if (!channel) {
            const int fd = connectTo(machine.front);
            if (fd < 0)
                continue;
            channel = std::make_unique<Channel>(fd);
        }
        const bool isHead = !isCalm() && i % headOneIn == headOneIn - 1;
        const std::string method = isHead ? "HEAD" : "GET";
        char id[32];
        std::snprintf(id, sizeof(id), "%04x%08x", number, i);
        record.line("client " + std::to_string(number) + " sends " + method + " " + id);
        channel->send(requestText(method, "/look/visit", id, siteKey, 3000));
        const auto answer = channel->readAnswer(isHead, Clock::now() + milliseconds(3000));
        const bool isServed = answer && answer->first.compare(0, 13, "HTTP/1.1 200 ") == 0;
        const auto unasked = answer ? channel->unasked() : std::string();
        {
            const std::lock_guard lock(counts.mutex);
            ++counts.sent;
            counts.served += isServed;
            counts.heads += isHead;
            counts.headsServed += isHead && isServed;
            counts.noAnswer += !unasked.empty();
        }
        record.line("client " + std::to_string(number) + " gets "
            + (answer ? answer->first.substr(0, answer->first.find("\r\n")) : "no answer") + " to " + method + " " + id);
        if (!unasked.empty())
            record.line("BROKEN MIXED: client " + std::to_string(number) + " gets " + std::to_string(unasked.size())
                + " bytes that are no answer, behind the answer to " + method + " " + id + ": " + unasked);
        if (!answer || !unasked.empty() || lower(answer->first).find("\r\nconnection: close") != std::string::npos)
            channel.reset();
    }
}

}

int main(int argc, char** argv)
{
    if (argc != 2)
        cannotRun("expected the folder of the case");
    Record record(std::string(argv[1]) + "/record.txt");
    const auto folder = temporaryFolder();
    Store store;
    store.put("op/config", deskConfig(7));
    LookDesk desk("i-7f3a91c2", "zone1-a", store, record);
    LookDesk second("i-02d9e6b4", "zone2-a", store, record);
    LookDesk third("i-55c01b7e", "zone3-a", store, record);
    Machine first("edge-zone1-a-1", "zone1-a", store, folder);
    Machine other("edge-zone2-a-1", "zone2-a", store, folder);
    first.waitUntilReady();
    other.waitUntilReady();
    std::this_thread::sleep_for(milliseconds(1000));

    Counts counts;
    std::atomic<bool> isOver { false };
    std::vector<std::thread> clients;
    for (int i = 0; i < clientCount; ++i)
        clients.emplace_back([&, i] { work(i % 2 ? other : first, i, record, counts, isOver); });
    std::this_thread::sleep_for(std::chrono::seconds(20));
    isOver = true;
    for (auto& client : clients)
        client.join();

    const int answered = desk.heads + second.heads + third.heads;
    const auto summary = std::to_string(counts.sent) + " requests, " + std::to_string(counts.served) + " served; "
        + std::to_string(counts.heads) + " of them HEAD, " + std::to_string(answered) + " answered 200 by the engines, "
        + std::to_string(counts.headsServed) + " served; behind " + std::to_string(counts.noAnswer)
        + " answers clients got bytes that are no answer";
    record.line(summary);
    std::cout << summary << std::endl;
    first.end(SIGKILL);
    other.end(SIGKILL);
    if (counts.sent - counts.heads < 100 || (counts.served - counts.headsServed) * 2 < counts.sent - counts.heads)
        finish(folder, exitCannotRun);
    finish(folder, counts.noAnswer ? exitBroken : exitHeld);
}

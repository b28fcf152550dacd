#pragma once
// What the scripts of review/11 to review/15 share: the platform's store, connections, a client, and the processes of
// the system. All addresses are loopback addresses, on free ports. Follows the users' page PROTOCOL.md.

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <signal.h>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace lab {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitCannotRun = 2;

/// Lines of what was sent, answered and run, with the time since the start.
class Record {
public:
    explicit Record(const std::string& file)
        : out(file)
        , start(Clock::now())
    {
    }
    void line(const std::string& text)
    {
        const std::lock_guard lock(this->mutex);
        char time[32];
        std::snprintf(time, sizeof(time), "%8.3f s  ", this->seconds());
        this->out << time << text << "\n";
        this->out.flush();
    }
    double seconds() const
    {
        return std::chrono::duration<double>(Clock::now() - this->start).count();
    }

private:
    std::ofstream out;
    std::mutex mutex;
    Clock::time_point start;
};

[[noreturn]] inline void cannotRun(const std::string& why)
{
    std::cerr << "cannot run: " << why << std::endl;
    std::_Exit(exitCannotRun);
}

// ---- JSON, as far as the store's calls need it ----

struct Json {
    enum Kind { Null, Bool, Number, Text, List, Object } kind = Null;
    bool flag = false;
    double number = 0;
    std::string text;
    std::vector<Json> list;
    std::map<std::string, Json> fields;

    const Json& operator[](const std::string& name) const
    {
        static const Json none;
        const auto found = this->fields.find(name);
        return found == this->fields.end() ? none : found->second;
    }
    int64_t integer() const
    {
        return static_cast<int64_t>(this->number);
    }
};

inline Json parseJson(const std::string& text, size_t& at)
{
    const auto skip = [&] {
        while (at < text.size() && std::isspace(static_cast<unsigned char>(text[at])))
            ++at;
    };
    const auto readText = [&] {
        std::string value;
        for (++at; at < text.size() && text[at] != '"'; ++at) {
            if (text[at] != '\\') {
                value += text[at];
                continue;
            }
            ++at;
            if (text[at] == 'n')
                value += '\n';
            else if (text[at] == 'u') {
                value += static_cast<char>(std::strtol(text.substr(at + 1, 4).c_str(), nullptr, 16));
                at += 4;
            } else
                value += text[at];
        }
        ++at;
        return value;
    };
    Json value;
    skip();
    if (at >= text.size())
        return value;
    if (text[at] == '{' || text[at] == '[') {
        const bool isObject = text[at] == '{';
        value.kind = isObject ? Json::Object : Json::List;
        for (++at, skip(); at < text.size() && text[at] != '}' && text[at] != ']'; skip()) {
            if (text[at] == ',') {
                ++at;
                continue;
            }
            if (!isObject) {
                value.list.push_back(parseJson(text, at));
                continue;
            }
            const auto name = readText();
            skip();
            ++at; // the colon
            value.fields[name] = parseJson(text, at);
        }
        ++at;
    } else if (text[at] == '"') {
        value.kind = Json::Text;
        value.text = readText();
    } else if (text.compare(at, 4, "true") == 0 || text.compare(at, 5, "false") == 0) {
        value.kind = Json::Bool;
        value.flag = text[at] == 't';
        at += value.flag ? 4 : 5;
    } else if (text.compare(at, 4, "null") == 0) {
        at += 4;
    } else {
        value.kind = Json::Number;
        char* end = nullptr;
        value.number = std::strtod(text.c_str() + at, &end);
        if (end == text.c_str() + at)
            ++at;
        else
            at = static_cast<size_t>(end - text.c_str());
    }
    return value;
}

inline Json parseJson(const std::string& text)
{
    size_t at = 0;
    return parseJson(text, at);
}

inline std::string base64(const std::string& bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (size_t i = 0; i < bytes.size(); i += 3) {
        uint32_t group = 0;
        for (size_t j = 0; j < 3; ++j)
            group = group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
        for (size_t j = 0; j < 4; ++j)
            text += i + j <= bytes.size() ? digits[group >> (18 - 6 * j) & 63] : '=';
    }
    return text;
}

inline std::string fromBase64(const std::string& text)
{
    std::string bytes;
    uint32_t group = 0;
    int bits = 0;
    for (const char c : text) {
        const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        const char* found = c ? std::strchr(digits, c) : nullptr;
        if (!found)
            break;
        group = group << 6 | static_cast<uint32_t>(found - digits);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(group >> bits & 255);
        }
    }
    return bytes;
}

// ---- connections ----

struct Address {
    std::string ip;
    int port = 0;
    std::string text() const
    {
        return this->ip + ":" + std::to_string(this->port);
    }
};

inline sockaddr_in toSystem(const Address& address)
{
    sockaddr_in system {};
    system.sin_family = AF_INET;
    system.sin_port = htons(static_cast<uint16_t>(address.port));
    inet_pton(AF_INET, address.ip.c_str(), &system.sin_addr);
    return system;
}

/// Listens on a free port of @p ip; its port is written to @p address.
inline int listenOn(Address& address)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto system = toSystem(address);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&system), sizeof(system)) || ::listen(fd, 512))
        cannotRun("cannot listen on " + address.text());
    socklen_t length = sizeof(system);
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&system), &length);
    address.port = ntohs(system.sin_port);
    return fd;
}

inline int freePort(const std::string& ip)
{
    Address address { ip, 0 };
    ::close(listenOn(address));
    return address.port;
}

inline std::string lower(std::string text)
{
    for (auto& c : text)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return text;
}

struct Message {
    std::string first; ///< the request line or status line
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool isComplete = false; ///< the whole body has arrived
    int status = 0;

    std::string header(const std::string& name) const
    {
        for (const auto& [each, value] : this->headers) {
            if (lower(each) == lower(name))
                return value;
        }
        return {};
    }
    std::string method() const
    {
        return this->first.substr(0, this->first.find(' '));
    }
    std::string target() const
    {
        const auto begin = this->first.find(' ') + 1;
        return this->first.substr(begin, this->first.find(' ', begin) - begin);
    }
};

/// One end of a connection, with what was read beyond the last message.
class Connection {
public:
    explicit Connection(int fd)
        : fd(fd)
        , number(nextNumber()++)
    {
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    Connection(const Connection&) = delete;
    ~Connection()
    {
        if (this->fd >= 0)
            ::close(this->fd);
    }
    bool write(const std::string& bytes)
    {
        size_t done = 0;
        while (done < bytes.size()) {
            const auto count = ::send(this->fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            done += static_cast<size_t>(count);
        }
        return true;
    }
    void reset()
    {
        const linger immediately { 1, 0 };
        ::setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
        ::close(this->fd);
        this->fd = -1;
    }
    /// Whether the other side has closed or reset the connection.
    bool isClosed() const
    {
        pollfd poll { this->fd, POLLRDHUP, 0 };
        return ::poll(&poll, 1, 0) > 0 && (poll.revents & (POLLRDHUP | POLLHUP | POLLERR));
    }
    /// Reads one message; nullopt if the connection ended before its head was complete, or @p until has passed.
    std::optional<Message> read(Clock::time_point until, bool isAnswer = false)
    {
        size_t end = 0;
        while ((end = this->unread.find("\r\n\r\n")) == std::string::npos) {
            if (!this->more(until))
                return std::nullopt;
        }
        Message message;
        std::istringstream head(this->unread.substr(0, end));
        this->unread.erase(0, end + 4);
        std::string line;
        while (std::getline(head, line)) {
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            if (message.first.empty()) {
                message.first = line;
                continue;
            }
            const auto colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' ') == std::string::npos ? 0 : value.find_first_not_of(' '));
            message.headers.emplace_back(line.substr(0, colon), value);
        }
        if (isAnswer && message.first.size() > 12)
            message.status = std::atoi(message.first.c_str() + 9);
        if (lower(message.header("Transfer-Encoding")) == "chunked") {
            this->readChunks(message, until);
            return message;
        }
        const auto length = static_cast<size_t>(std::atoll(message.header("Content-Length").c_str()));
        while (this->unread.size() < length && this->more(until)) { }
        message.isComplete = this->unread.size() >= length;
        message.body = this->unread.substr(0, length);
        this->unread.erase(0, message.body.size());
        return message;
    }

    int fd;
    const uint64_t number; ///< that no other connection has

private:
    static std::atomic<uint64_t>& nextNumber()
    {
        static std::atomic<uint64_t> next { 1 };
        return next;
    }
    bool more(Clock::time_point until)
    {
        const auto left = std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
        pollfd poll { this->fd, POLLIN, 0 };
        if (left <= 0 || ::poll(&poll, 1, static_cast<int>(left)) <= 0)
            return false;
        char bytes[16384];
        const auto count = ::recv(this->fd, bytes, sizeof(bytes), 0);
        if (count <= 0)
            return false;
        this->unread.append(bytes, static_cast<size_t>(count));
        return true;
    }
    void readChunks(Message& message, Clock::time_point until)
    {
        while (true) {
            size_t end = 0;
            while ((end = this->unread.find("\r\n")) == std::string::npos) {
                if (!this->more(until))
                    return;
            }
            const auto size = static_cast<size_t>(std::strtoul(this->unread.c_str(), nullptr, 16));
            while (this->unread.size() < end + 2 + size + 2) {
                if (!this->more(until))
                    return;
            }
            message.body.append(this->unread, end + 2, size);
            this->unread.erase(0, end + 2 + size + 2);
            if (!size) {
                message.isComplete = true;
                return;
            }
        }
    }
    std::string unread;
};

/// Serves each connection in a thread of its own. A handler returns false to close the connection.
class Server {
public:
    using Handler = std::function<bool(Connection&, const Message&)>;

    explicit Server(Handler handler, const std::string& ip = "127.0.0.1")
        : address { ip, 0 }
        , handler(std::move(handler))
        , listener(listenOn(this->address))
    {
        std::thread([this] { this->accept(); }).detach();
    }
    /// Refuses connections from now on, and ends those that are open.
    void stop()
    {
        const std::lock_guard lock(this->mutex);
        this->isStopped = true;
        ::shutdown(this->listener, SHUT_RDWR);
        ::close(this->listener);
        for (const int fd : this->open)
            ::shutdown(fd, SHUT_RDWR);
    }
    Address address;

private:
    void accept()
    {
        while (true) {
            const int fd = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                return;
            const std::lock_guard lock(this->mutex);
            if (this->isStopped) {
                ::close(fd);
                return;
            }
            this->open.insert(fd);
            std::thread([this, fd] { this->serve(fd); }).detach();
        }
    }
    void serve(int fd)
    {
        {
            Connection connection(fd);
            while (const auto request = connection.read(Clock::now() + std::chrono::seconds(60))) {
                if (!this->handler(connection, *request))
                    break;
            }
            const std::lock_guard lock(this->mutex);
            this->open.erase(fd);
        }
    }
    Handler handler;
    int listener;
    std::mutex mutex;
    std::set<int> open;
    bool isStopped = false;
};

inline std::string answerText(int status, const std::vector<std::pair<std::string, std::string>>& headers,
    const std::string& body, const std::string& reason = "")
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " " + (reason.empty() ? "OK" : reason) + "\r\n";
    for (const auto& [name, value] : headers)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// ---- the platform's store ----

class Store {
public:
    Store()
        : server([this](Connection& connection, const Message& request) { return this->handle(connection, request); })
    {
        std::thread([this] {
            while (true) {
                std::this_thread::sleep_for(milliseconds(20));
                const std::lock_guard lock(this->mutex);
                this->expire();
            }
        }).detach();
    }
    /// Writes as an engine or the operator does. Returns once the store has accepted the write.
    void put(const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(this->mutex);
        this->write(key, value, 0);
    }
    void remove(const std::string& key)
    {
        const std::lock_guard lock(this->mutex);
        this->erase(key);
    }
    std::string address() const
    {
        return this->server.address.text();
    }

private:
    struct Item {
        std::string value;
        int64_t revision = 0;
        int64_t created = 0;
        int64_t lease = 0;
    };
    struct Event {
        std::string key;
        Item item;
        bool isRemoval;
        int64_t revision;
    };
    struct Lease {
        milliseconds time;
        Clock::time_point until;
    };

    void write(const std::string& key, const std::string& value, int64_t lease)
    {
        auto& item = this->items[key];
        ++this->revision;
        item = { value, this->revision, item.created ? item.created : this->revision, lease };
        this->events.push_back({ key, item, false, this->revision });
        this->changed.notify_all();
    }
    void erase(const std::string& key)
    {
        if (!this->items.erase(key))
            return;
        this->events.push_back({ key, {}, true, ++this->revision });
        this->changed.notify_all();
    }
    void expire()
    {
        const auto now = Clock::now();
        for (auto lease = this->leases.begin(); lease != this->leases.end();) {
            if (lease->second.until > now) {
                ++lease;
                continue;
            }
            std::vector<std::string> keys;
            for (const auto& [key, item] : this->items) {
                if (item.lease == lease->first)
                    keys.push_back(key);
            }
            for (const auto& key : keys)
                this->erase(key);
            lease = this->leases.erase(lease);
        }
    }
    static std::string itemText(const std::string& key, const Item& item)
    {
        return "{\"key\":\"" + key + "\",\"value\":\"" + base64(item.value)
            + "\",\"revision\":" + std::to_string(item.revision) + ",\"created_rev\":" + std::to_string(item.created)
            + ",\"lease\":" + std::to_string(item.lease) + "}";
    }
    static std::string query(const std::string& target, const std::string& name)
    {
        const auto begin = target.find("?");
        std::istringstream parts(begin == std::string::npos ? "" : target.substr(begin + 1));
        std::string part;
        while (std::getline(parts, part, '&')) {
            if (part.compare(0, name.size() + 1, name + "=") != 0)
                continue;
            std::string value;
            for (size_t i = name.size() + 1; i < part.size(); ++i) {
                if (part[i] == '%') {
                    value += static_cast<char>(std::strtol(part.substr(i + 1, 2).c_str(), nullptr, 16));
                    i += 2;
                } else
                    value += part[i];
            }
            return value;
        }
        return {};
    }
    static bool respond(Connection& connection, int status, const std::string& body)
    {
        return connection.write(answerText(status, { { "Content-Type", "application/json" } }, body));
    }
    bool handle(Connection& connection, const Message& request)
    {
        const auto target = request.target();
        const auto path = target.substr(0, target.find('?'));
        std::unique_lock lock(this->mutex);
        this->expire();
        if (path == "/api/kv-watch")
            return this->watch(connection, target, lock);
        int status = 200;
        const auto body = this->answer(request.method(), path, target, request.body, status);
        lock.unlock();
        return respond(connection, status, body);
    }
    std::string answer(const std::string& method, const std::string& path, const std::string& target,
        const std::string& body, int& status)
    {
        const auto current = "\"current_rev\":" + std::to_string(this->revision);
        if (path == "/api/kv-key") {
            const auto found = this->items.find(query(target, "key"));
            if (found != this->items.end())
                return itemText(found->first, found->second);
            status = 404;
            return "{}";
        }
        if (path == "/api/kv-range") {
            const auto prefix = query(target, "prefix");
            std::string list;
            for (const auto& [key, item] : this->items) {
                if (key.compare(0, prefix.size(), prefix) == 0 && key > query(target, "after"))
                    list += (list.empty() ? "" : ",") + itemText(key, item);
            }
            return "{\"items\":[" + list + "],\"truncated\":false," + current + "}";
        }
        const auto call = parseJson(body);
        if (path == "/api/kv-txn")
            return this->transact(call, status);
        if (path == "/api/kv-lease") {
            const milliseconds time(std::clamp<int64_t>(call["ttl_ms"].integer(), 1000, 600000));
            this->leases[++this->lastLease] = { time, Clock::now() + time };
            return "{\"lease\":" + std::to_string(this->lastLease) + ",\"ttl_ms\":" + std::to_string(time.count())
                + "}";
        }
        const auto id = std::atoll(path.substr(path.rfind('/') + 1).c_str());
        const auto lease = this->leases.find(id);
        if (lease == this->leases.end()) {
            status = 404;
            return "{}";
        }
        lease->second.until = Clock::now() + (method == "DELETE" ? milliseconds(0) : lease->second.time);
        const auto text = "{\"ttl_ms\":" + std::to_string(lease->second.time.count()) + "}";
        this->expire();
        return text;
    }
    std::string transact(const Json& call, int& status)
    {
        const auto isReserved = [](const std::string& key) {
            return key.compare(0, 3, "op/") == 0 || key.compare(0, 8, "servers/") == 0;
        };
        bool isRefused = call["expected"].list.size() + call["writes"].list.size() + call["remove"].list.size() > 32;
        for (const auto& row : call["writes"].list)
            isRefused = isRefused || isReserved(row["key"].text);
        for (const auto& key : call["remove"].list)
            isRefused = isRefused || isReserved(key.text);
        if (isRefused) {
            status = 403;
            return "{}";
        }
        bool isMet = true;
        std::string found;
        for (const auto& row : call["expected"].list) {
            const auto item = this->items.find(row["key"].text);
            const int64_t revision = item == this->items.end() ? 0 : item->second.revision;
            isMet = isMet && revision == row["revision"].integer();
            if (revision)
                found += (found.empty() ? "" : ",") + itemText(item->first, item->second);
        }
        if (!isMet) {
            status = 412;
            return "{\"items\":[" + found + "]}";
        }
        for (const auto& row : call["writes"].list) {
            if (row["lease"].integer() && !this->leases.count(row["lease"].integer())) {
                status = 404;
                return "{}";
            }
        }
        for (const auto& row : call["writes"].list)
            this->write(row["key"].text, fromBase64(row["value"].text), row["lease"].integer());
        for (const auto& key : call["remove"].list)
            this->erase(key.text);
        return "{\"revision\":" + std::to_string(this->revision) + "}";
    }
    bool watch(Connection& connection, const std::string& target, std::unique_lock<std::mutex>& lock)
    {
        const auto prefix = query(target, "prefix");
        const auto after = std::atoll(query(target, "after").c_str());
        const auto until = Clock::now() + milliseconds(std::atoll(query(target, "wait_ms").c_str()));
        while (true) {
            std::string list;
            for (const auto& event : this->events) {
                if (event.revision <= after || event.key.compare(0, prefix.size(), prefix) != 0)
                    continue;
                list += (list.empty() ? "" : ",")
                    + (event.isRemoval ? "{\"key\":\"" + event.key
                                  + "\",\"revision\":" + std::to_string(event.revision) + ",\"removed\":true}"
                                       : itemText(event.key, event.item));
            }
            if (!list.empty() || Clock::now() >= until) {
                const auto body
                    = "{\"events\":[" + list + "],\"current_rev\":" + std::to_string(this->revision) + "}";
                lock.unlock();
                return respond(connection, 200, body);
            }
            this->changed.wait_until(lock, until);
        }
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, Item> items;
    std::deque<Event> events;
    std::map<int64_t, Lease> leases;
    int64_t lastLease = 0;
    int64_t revision = 1;
    Server server;
};

// ---- the system's processes ----

/// Fills in the template of deploy/settings.yaml, which the platform does at each start.
inline std::string fillIn(const std::string& text, const std::map<std::string, std::string>& values,
    const std::map<std::string, std::string>& zones)
{
    std::string filled;
    for (size_t at = 0; at < text.size();) {
        const auto begin = text.find("{{", at);
        filled += text.substr(at, begin == std::string::npos ? std::string::npos : begin - at);
        if (begin == std::string::npos)
            break;
        const auto end = text.find("}}", begin);
        const auto name = text.substr(begin + 2, end - begin - 2);
        at = end + 2;
        if (name[0] != '#' && name[0] != '^') {
            const auto found = values.find(name);
            filled += found == values.end() ? "" : found->second;
            continue;
        }
        const auto close = text.find("{{/" + name.substr(1) + "}}", at);
        const auto inner = text.substr(at, close - at);
        at = close + name.size() + 4;
        if (name == "#zones") {
            for (auto zone = zones.begin(); zone != zones.end(); ++zone)
                filled += zone->first + ": " + zone->second + (std::next(zone) == zones.end() ? "" : ", ");
        } else if (values.count(name.substr(1)) == (name[0] == '#')) {
            filled += fillIn(inner, values, zones);
        }
    }
    return filled;
}

/// One entry machine: the command of deploy/system.toml with settings from the template.
class Machine {
public:
    Machine(const std::string& name, const std::string& zone, const Store& store, const std::string& folder,
        const std::map<std::string, std::string>& changed = {})
        : log(folder + "/" + name + ".log")
        , file(folder + "/" + name + ".yaml")
    {
        static int count = 0;
        // A loopback address for each machine, so that all can have the same ports as on the platform.
        this->ip = "127." + std::to_string(20 + ::getpid() % 200) + "." + std::to_string(::getpid() / 200 % 250) + "."
            + std::to_string(++count + 10);
        this->front = { this->ip, freePort(this->ip) };
        this->ready = { this->ip, freePort(this->ip) };
        std::map<std::string, std::string> values { { "node_name", name }, { "region", zone.substr(0, 5) },
            { "zone", zone }, { "ip", this->ip }, { "listen.front", this->front.text() },
            { "listen.ready_addr", this->ready.text() }, { "internal_ports.0", std::to_string(freePort(this->ip)) },
            { "internal_ports.1", std::to_string(freePort(this->ip)) }, { "limits.cpu_share", "0.25" },
            { "limits.memory_mb", "260" }, { "platform.address", store.address() }, { "bounds.grace_s", "8" },
            { "bounds.revoke_ms", "5000" }, { "bounds.version_ms", "15000" }, { "bounds.drain_ms", "3000" },
            { "bounds.lease_ms", "3000" }, { "platform.writes_per_s", "400" },
            { "bounds.retry_budget_ratio", "0.2" }, { "bounds.budget_window_s", "10" } };
        for (const auto& [key, value] : changed)
            values[key] = value;
        std::ifstream in("deploy/settings.yaml");
        if (!in)
            cannotRun("deploy/settings.yaml is missing");
        const std::string text((std::istreambuf_iterator<char>(in)), {});
        std::ofstream(this->file) << fillIn(text, values,
            { { "zone1-a", "zone1" }, { "zone2-a", "zone2" }, { "zone3-a", "zone3" } });
        this->start();
    }
    ~Machine()
    {
        this->end(SIGKILL);
    }
    void start()
    {
        this->process = ::fork();
        if (this->process)
            return;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out = ::open(this->log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(out, 1);
        ::dup2(out, 2);
        ::execl("target/dragonflyd", "target/dragonflyd", "--settings", this->file.c_str(), nullptr);
        std::_Exit(127);
    }
    void signal(int number) const
    {
        if (this->process > 0)
            ::kill(this->process, number);
    }
    void end(int number)
    {
        if (this->process <= 0)
            return;
        ::kill(this->process, number);
        ::waitpid(this->process, nullptr, 0);
        this->process = -1;
    }
    /// Whether it has ended, after a signal or by itself.
    bool hasEnded()
    {
        if (this->process > 0 && ::waitpid(this->process, nullptr, WNOHANG) != 0)
            this->process = -1;
        return this->process <= 0;
    }
    bool isReady() const;
    void waitUntilReady() const
    {
        for (int i = 0; i < 200; ++i) {
            if (this->isReady())
                return;
            std::this_thread::sleep_for(milliseconds(50));
        }
        cannotRun("a machine is not ready in 10 s; see " + this->log);
    }

    std::string ip;
    Address front;
    Address ready;
    std::string log;

private:
    std::string file;
    pid_t process = -1;
};

// ---- clients ----

inline int connectTo(const Address& address, milliseconds timeout = milliseconds(1000))
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const auto system = toSystem(address);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&system), sizeof(system)) && errno != EINPROGRESS) {
        ::close(fd);
        return -1;
    }
    pollfd poll { fd, POLLOUT, 0 };
    int failure = 0;
    socklen_t length = sizeof(failure);
    if (::poll(&poll, 1, static_cast<int>(timeout.count())) <= 0
        || ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &failure, &length) || failure) {
        ::close(fd);
        return -1;
    }
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    return fd;
}

/// Sends @p text on a new connection and reads the answer; status 0 if there is none by then.
inline Message ask(const Address& address, const std::string& text, milliseconds timeout)
{
    const auto until = Clock::now() + timeout;
    const int fd = connectTo(address);
    if (fd < 0)
        return {};
    Connection connection(fd);
    connection.write(text);
    return connection.read(until, true).value_or(Message {});
}

inline bool Machine::isReady() const
{
    return ask(this->ready, "GET /ready HTTP/1.1\r\nHost: " + this->ready.text() + "\r\nConnection: close\r\n\r\n",
               milliseconds(500))
               .status
        == 200;
}

inline std::string requestText(const std::string& method, const std::string& path, const std::string& id,
    const std::string& key, int deadlineMs, const std::string& body = "", const std::string& more = "")
{
    auto text = method + " " + path + " HTTP/1.1\r\nHost: jepu9.example\r\nX-Dragonflyarch-Attempt-Id: " + id
        + "\r\nX-Dragonflyarch-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n";
    if (!key.empty())
        text += "Authorization: Bearer " + key + "\r\n";
    text += more;
    if (method == "POST")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

inline std::string temporaryFolder()
{
    std::string name = "/tmp/review3-XXXXXX";
    if (!::mkdtemp(name.data()))
        cannotRun("no temporary folder");
    return name;
}

/// Ends the script after its machines have ended.
[[noreturn]] inline void finish(const std::string& folder, int code)
{
    std::error_code ignored;
    std::filesystem::remove_all(folder, ignored);
    std::_Exit(code);
}

/// Whether the disruption is left out.
inline bool isCalm()
{
    const char* value = std::getenv("TROUBLE");
    return value && std::string(value) == "0";
}

}

#pragma once
// Small stand-ins for scripted cases: the platform's store, engines, plain servers and clients, as threads of one
// program, which starts the project's instances as processes. They speak what PROTOCOL.md says and nothing else.
//
// All addresses are loopback addresses with free ports. Every wait is bounded.

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
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
#include <set>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

inline Clock::time_point begun = Clock::now();

inline int64_t nowMs()
{
    return std::chrono::duration_cast<Ms>(Clock::now() - begun).count();
}

inline void sleepMs(int64_t time)
{
    std::this_thread::sleep_for(Ms(time));
}

/// Writes lines with their time to record.txt.
class Record {
public:
    explicit Record(const std::string& file)
        : out(file)
    {
    }
    void line(const std::string& text)
    {
        const std::lock_guard lock(this->mutex);
        this->out << nowMs() << " ms  " << text << std::endl;
    }

private:
    std::mutex mutex;
    std::ofstream out;
};

// ---- JSON, as far as the pages need it

struct Json {
    enum class Kind { Null, Bool, Number, Text, List, Object } kind = Kind::Null;
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

class JsonReader {
public:
    explicit JsonReader(const std::string& text)
        : text(text)
    {
    }
    Json read()
    {
        this->skip();
        Json value;
        if (this->at >= this->text.size())
            return value;
        const char c = this->text[this->at];
        if (c == '{') {
            value.kind = Json::Kind::Object;
            ++this->at;
            while (this->next() != '}' && this->at < this->text.size()) {
                auto name = this->string();
                this->next();
                ++this->at; // colon
                value.fields[name] = this->read();
                if (this->next() == ',')
                    ++this->at;
            }
            ++this->at;
        } else if (c == '[') {
            value.kind = Json::Kind::List;
            ++this->at;
            while (this->next() != ']' && this->at < this->text.size()) {
                value.list.push_back(this->read());
                if (this->next() == ',')
                    ++this->at;
            }
            ++this->at;
        } else if (c == '"') {
            value.kind = Json::Kind::Text;
            value.text = this->string();
        } else if (c == 't' || c == 'f') {
            value.kind = Json::Kind::Bool;
            value.flag = c == 't';
            this->at += c == 't' ? 4 : 5;
        } else if (c == 'n') {
            this->at += 4;
        } else {
            value.kind = Json::Kind::Number;
            char* end = nullptr;
            value.number = std::strtod(this->text.c_str() + this->at, &end);
            const auto length = static_cast<size_t>(end - (this->text.c_str() + this->at));
            this->at += std::max<size_t>(length, 1);
        }
        return value;
    }

private:
    void skip()
    {
        while (this->at < this->text.size() && std::strchr(" \t\r\n", this->text[this->at]))
            ++this->at;
    }
    char next()
    {
        this->skip();
        return this->at < this->text.size() ? this->text[this->at] : '\0';
    }
    std::string string()
    {
        std::string value;
        this->skip();
        for (++this->at; this->at < this->text.size() && this->text[this->at] != '"'; ++this->at) {
            if (this->text[this->at] != '\\') {
                value += this->text[this->at];
                continue;
            }
            const char c = this->text[++this->at];
            if (c == 'n')
                value += '\n';
            else if (c == 'u') {
                value += static_cast<char>(std::strtol(this->text.substr(this->at + 1, 4).c_str(), nullptr, 16));
                this->at += 4;
            } else
                value += c;
        }
        ++this->at;
        return value;
    }

    const std::string& text;
    size_t at = 0;
};

inline Json parseJson(const std::string& text)
{
    return JsonReader(text).read();
}

inline std::string quoted(const std::string& text)
{
    std::string out = "\"";
    for (const char c : text) {
        if (c == '"' || c == '\\')
            out += '\\';
        out += c;
    }
    return out + "\"";
}

// ---- base64

inline std::string encodeBase64(const std::string& bytes)
{
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (size_t i = 0; i < bytes.size(); i += 3) {
        uint32_t group = 0;
        const size_t count = std::min<size_t>(3, bytes.size() - i);
        for (size_t k = 0; k < 3; ++k)
            group = group << 8 | (k < count ? static_cast<uint8_t>(bytes[i + k]) : 0);
        for (size_t k = 0; k < 4; ++k)
            out += k <= count ? digits[group >> (18 - 6 * k) & 63] : '=';
    }
    return out;
}

inline std::string decodeBase64(const std::string& text)
{
    static const std::string digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    uint32_t group = 0;
    int bits = 0;
    for (const char c : text) {
        const auto value = digits.find(c);
        if (value == std::string::npos)
            break;
        group = group << 6 | static_cast<uint32_t>(value);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            out += static_cast<char>(group >> bits & 255);
        }
    }
    return out;
}

// ---- HTTP

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string headerOf(const Headers& headers, const std::string& name)
{
    for (const auto& [key, value] : headers) {
        if (!strcasecmp(key.c_str(), name.c_str()))
            return value;
    }
    return {};
}

struct Request {
    std::string method;
    std::string target;
    Headers headers;
    std::string body;
    std::string header(const std::string& name) const
    {
        return headerOf(this->headers, name);
    }
    std::string path() const
    {
        return this->target.substr(0, this->target.find('?'));
    }
    std::string query(const std::string& name) const
    {
        const auto question = this->target.find('?');
        std::string rest = question == std::string::npos ? "" : "&" + this->target.substr(question + 1);
        const auto at = rest.find("&" + name + "=");
        if (at == std::string::npos)
            return {};
        const auto from = at + name.size() + 2;
        const auto raw = rest.substr(from, rest.find('&', from) - from);
        std::string out;
        for (size_t i = 0; i < raw.size(); ++i) {
            if (raw[i] == '%') {
                out += static_cast<char>(std::strtol(raw.substr(i + 1, 2).c_str(), nullptr, 16));
                i += 2;
            } else
                out += raw[i];
        }
        return out;
    }
};

/// One end of a TCP connection with a read buffer.
class Stream {
public:
    explicit Stream(int descriptor)
        : descriptor(descriptor)
    {
    }
    ~Stream()
    {
        if (this->descriptor >= 0)
            ::close(this->descriptor);
    }
    Stream(const Stream&) = delete;
    Stream& operator=(const Stream&) = delete;

    bool send(const std::string& bytes) const
    {
        size_t sent = 0;
        while (sent < bytes.size()) {
            const auto count = ::send(this->descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<size_t>(count);
        }
        return true;
    }
    /// Receives more bytes; false at the end of the connection or at @p until.
    bool fill(Clock::time_point until)
    {
        const auto left = std::chrono::duration_cast<Ms>(until - Clock::now()).count();
        pollfd entry { this->descriptor, POLLIN, 0 };
        if (left <= 0 || ::poll(&entry, 1, static_cast<int>(left)) <= 0) {
            this->timedOut = true;
            return false;
        }
        char bytes[65536];
        const auto count = ::recv(this->descriptor, bytes, sizeof(bytes), 0);
        if (count <= 0) {
            this->wasReset = count < 0;
            return false;
        }
        this->buffer.append(bytes, static_cast<size_t>(count));
        return true;
    }
    /// Whether the other side has closed.
    bool isClosed() const
    {
        pollfd entry { this->descriptor, POLLRDHUP, 0 };
        return ::poll(&entry, 1, 0) > 0 && (entry.revents & (POLLRDHUP | POLLHUP | POLLERR));
    }

    int descriptor;
    std::string buffer;
    bool timedOut = false;
    bool wasReset = false;
};

/// Reads the lines of a head; false if the connection ended before.
inline bool readHead(Stream& stream, Clock::time_point until, std::string& firstLine, Headers& headers)
{
    size_t end = 0;
    while ((end = stream.buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!stream.fill(until))
            return false;
    }
    const auto head = stream.buffer.substr(0, end + 2);
    stream.buffer.erase(0, end + 4);
    size_t at = head.find("\r\n");
    firstLine = head.substr(0, at);
    for (at += 2; at < head.size();) {
        const auto lineEnd = head.find("\r\n", at);
        const auto line = head.substr(at, lineEnd - at);
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            auto value = line.substr(colon + 1);
            value.erase(0, std::min(value.find_first_not_of(' '), value.size()));
            headers.emplace_back(line.substr(0, colon), value);
        }
        at = lineEnd + 2;
    }
    return true;
}

/// Reads a body of a known length or in chunks; false if it is not complete.
inline bool readBody(Stream& stream, Clock::time_point until, const Headers& headers, std::string& body,
    const std::function<void(const std::string&)>& onPart = {})
{
    if (headerOf(headers, "Transfer-Encoding") == "chunked") {
        while (true) {
            size_t end = 0;
            while ((end = stream.buffer.find("\r\n")) == std::string::npos) {
                if (!stream.fill(until))
                    return false;
            }
            const auto size = std::strtoull(stream.buffer.c_str(), nullptr, 16);
            while (stream.buffer.size() < end + 2 + size + 2) {
                if (!stream.fill(until))
                    return false;
            }
            const auto part = stream.buffer.substr(end + 2, size);
            stream.buffer.erase(0, end + 2 + size + 2);
            body += part;
            if (!size)
                return true;
            if (onPart)
                onPart(part);
        }
    }
    const auto size = std::strtoull(headerOf(headers, "Content-Length").c_str(), nullptr, 10);
    while (stream.buffer.size() < size) {
        if (!stream.fill(until))
            return false;
    }
    body = stream.buffer.substr(0, size);
    stream.buffer.erase(0, size);
    return true;
}

inline std::string responseText(int status, const Headers& headers, const std::string& body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto& [name, value] : headers)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline sockaddr_in addressOf(const std::string& endpoint)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    const auto colon = endpoint.rfind(':');
    address.sin_port = htons(static_cast<uint16_t>(std::atoi(endpoint.c_str() + colon + 1)));
    ::inet_pton(AF_INET, endpoint.substr(0, colon).c_str(), &address.sin_addr);
    return address;
}

inline std::string nameOf(int descriptor)
{
    sockaddr_in address {};
    socklen_t length = sizeof(address);
    ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length);
    char text[INET_ADDRSTRLEN];
    ::inet_ntop(AF_INET, &address.sin_addr, text, sizeof(text));
    return std::string(text) + ":" + std::to_string(ntohs(address.sin_port));
}

/// A connection to @p endpoint; null if it is refused.
inline std::unique_ptr<Stream> connectTo(const std::string& endpoint)
{
    auto address = addressOf(endpoint);
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto stream = std::make_unique<Stream>(descriptor);
    if (::connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)))
        return nullptr;
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return stream;
}

/// A server with one thread for each connection. The handler answers on the stream; false closes the connection.
class Server {
public:
    using Handler = std::function<bool(Stream&, const Request&)>;

    explicit Server(Handler handler)
        : handler(std::move(handler))
    {
        this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto address = addressOf("127.0.0.1:0");
        if (::bind(this->listener, reinterpret_cast<sockaddr*>(&address), sizeof(address))
            || ::listen(this->listener, 1024)) {
            std::cerr << "cannot listen\n";
            std::exit(2);
        }
        this->endpoint = nameOf(this->listener);
        std::thread([this] { this->accept(); }).detach();
    }

    std::string endpoint;

private:
    void accept()
    {
        while (true) {
            const int descriptor = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0)
                continue;
            const int on = 1;
            ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            std::thread([this, descriptor] { this->serve(descriptor); }).detach();
        }
    }
    void serve(int descriptor)
    {
        Stream stream(descriptor);
        while (true) {
            Request request;
            std::string first;
            const auto until = Clock::now() + std::chrono::seconds(300); // longer than a case, so none is announced
            if (!readHead(stream, until, first, request.headers))
                return;
            const auto space = first.find(' ');
            request.method = first.substr(0, space);
            request.target = first.substr(space + 1, first.rfind(' ') - space - 1);
            if (!readBody(stream, until, request.headers, request.body) || !this->handler(stream, request))
                return;
        }
    }

    Handler handler;
    int listener;
};

// ---- the platform's store

class Store {
public:
    Store()
        : server([this](Stream& stream, const Request& request) { return this->handle(stream, request); })
    {
        std::thread([this] {
            while (true) {
                sleepMs(20);
                const std::lock_guard lock(this->mutex);
                this->expire();
            }
        }).detach();
    }

    std::string address() const
    {
        return this->server.endpoint;
    }
    /// What the operator and the engines write; returns the time of the acknowledgement.
    int64_t put(const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(this->mutex);
        this->write(key, value, 0);
        return nowMs();
    }
    /// What an engine, or another writer, writes each @p interval under servers/. The entry changes when more than "seq"
    /// changes, and is removed after three intervals of silence.
    void beat(const std::string& key, const std::string& content, int64_t sequence, Ms interval)
    {
        const std::lock_guard lock(this->mutex);
        auto& known = this->beats[key];
        known.silentFrom = Clock::now() + 3 * interval;
        if (known.content == content && this->items.count(key))
            return;
        known.content = content;
        this->write(key, content + ",\"seq\":" + std::to_string(sequence) + "}", 0);
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
        int64_t revision;
        std::optional<Item> item;
    };
    struct Beat {
        std::string content;
        Clock::time_point silentFrom;
    };
    struct Lease {
        Ms ttl;
        Clock::time_point end;
    };

    void write(const std::string& key, const std::string& value, int64_t lease)
    {
        auto& item = this->items[key];
        item.value = value;
        item.revision = ++this->revision;
        if (!item.created)
            item.created = this->revision;
        item.lease = lease;
        this->history.push_back({ key, this->revision, item });
        this->changed.notify_all();
    }
    void erase(const std::string& key)
    {
        if (!this->items.erase(key))
            return;
        this->history.push_back({ key, ++this->revision, std::nullopt });
        this->changed.notify_all();
    }
    void expire()
    {
        const auto now = Clock::now();
        for (auto beat = this->beats.begin(); beat != this->beats.end();) {
            if (beat->second.silentFrom > now) {
                ++beat;
                continue;
            }
            this->erase(beat->first);
            beat = this->beats.erase(beat);
        }
        for (auto lease = this->leases.begin(); lease != this->leases.end();) {
            if (lease->second.end > now) {
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
    static std::string textOf(const std::string& key, const Item& item)
    {
        return "{\"key\":" + quoted(key) + ",\"value\":\"" + encodeBase64(item.value)
            + "\",\"revision\":" + std::to_string(item.revision) + ",\"created_rev\":" + std::to_string(item.created)
            + ",\"lease\":" + std::to_string(item.lease) + "}";
    }
    static bool answer(Stream& stream, int status, const std::string& body = "{}")
    {
        return stream.send(responseText(status, { { "Content-Type", "application/json" } }, body));
    }

    bool handle(Stream& stream, const Request& request)
    {
        std::unique_lock lock(this->mutex);
        const auto path = request.path();
        if (path == "/api/kv-watch")
            return this->watch(stream, request, lock);
        const auto [status, body] = this->dispatch(path, request);
        lock.unlock();
        return answer(stream, status, body);
    }

    std::pair<int, std::string> dispatch(const std::string& path, const Request& request)
    {
        const auto current = ",\"current_rev\":" + std::to_string(this->revision) + "}";
        if (path == "/api/kv-key") {
            const auto found = this->items.find(request.query("key"));
            if (found == this->items.end())
                return { 404, "{}" };
            auto text = textOf(found->first, found->second);
            text.pop_back();
            return { 200, text + current };
        }
        if (path == "/api/kv-range") {
            const auto prefix = request.query("prefix");
            const auto after = request.query("after");
            std::string list;
            size_t count = 0;
            bool truncated = false;
            for (auto item = this->items.upper_bound(after); item != this->items.end(); ++item) {
                if (item->first.rfind(prefix, 0) != 0)
                    continue;
                truncated = ++count > 500 || list.size() > 1000000;
                if (truncated)
                    break;
                list += (list.empty() ? "" : ",") + textOf(item->first, item->second);
            }
            return { 200, "{\"items\":[" + list + "],\"truncated\":" + (truncated ? "true" : "false") + current };
        }
        if (path == "/api/kv-txn")
            return this->transact(parseJson(request.body));
        if (path == "/api/kv-lease") {
            const Ms ttl(parseJson(request.body)["ttl_ms"].integer());
            if (ttl < Ms(1000) || ttl > std::chrono::minutes(10))
                return { 400, "{}" };
            this->leases[++this->lastLease] = { ttl, Clock::now() + ttl };
            return { 200,
                "{\"lease\":" + std::to_string(this->lastLease) + ",\"ttl_ms\":" + std::to_string(ttl.count()) + "}" };
        }
        const auto lease = this->leases.find(std::atoll(path.c_str() + path.rfind('/') + 1));
        if (lease == this->leases.end())
            return { 404, "{}" };
        const auto ttl = lease->second.ttl;
        const bool ends = path.rfind("/api/kv-lease-end/", 0) == 0;
        lease->second.end = ends ? Clock::now() : Clock::now() + ttl;
        if (ends)
            this->expire();
        return { 200, "{\"ttl_ms\":" + std::to_string(ttl.count()) + "}" };
    }

    std::pair<int, std::string> transact(const Json& body)
    {
        this->expire();
        const auto isReserved = [](const std::string& key) { return key.rfind("op/", 0) == 0 || key.rfind("servers/", 0) == 0; };
        if (body["expected"].list.size() + body["writes"].list.size() + body["remove"].list.size() > 32)
            return { 400, "{}" };
        for (const auto& row : body["writes"].list) {
            if (isReserved(row["key"].text))
                return { 403, "{}" };
        }
        for (const auto& key : body["remove"].list) {
            if (isReserved(key.text))
                return { 403, "{}" };
        }
        std::string found;
        bool matches = true;
        for (const auto& row : body["expected"].list) {
            const auto item = this->items.find(row["key"].text);
            const auto revision = item == this->items.end() ? 0 : item->second.revision;
            matches = matches && revision == row["revision"].integer();
            if (revision)
                found += (found.empty() ? "" : ",") + textOf(item->first, item->second);
        }
        if (!matches)
            return { 412, "{\"items\":[" + found + "]}" };
        for (const auto& row : body["writes"].list) {
            const auto lease = row["lease"].integer();
            if (lease && !this->leases.count(lease))
                return { 404, "{}" };
        }
        for (const auto& row : body["writes"].list)
            this->write(row["key"].text, decodeBase64(row["value"].text), row["lease"].integer());
        for (const auto& key : body["remove"].list)
            this->erase(key.text);
        return { 200, "{\"revision\":" + std::to_string(this->revision) + "}" };
    }

    bool watch(Stream& stream, const Request& request, std::unique_lock<std::mutex>& lock)
    {
        const auto prefix = request.query("prefix");
        const auto after = std::atoll(request.query("after").c_str());
        const auto until = Clock::now() + Ms(std::atoll(request.query("wait_ms").c_str()));
        std::string list;
        while (true) {
            for (const auto& event : this->history) {
                if (event.revision <= after || event.key.rfind(prefix, 0) != 0)
                    continue;
                list += list.empty() ? "" : ",";
                list += event.item ? textOf(event.key, *event.item)
                                   : "{\"key\":" + quoted(event.key)
                        + ",\"revision\":" + std::to_string(event.revision) + ",\"removed\":true}";
            }
            if (!list.empty() || Clock::now() >= until)
                break;
            this->changed.wait_until(lock, until);
        }
        const auto body = "{\"events\":[" + list + "],\"current_rev\":" + std::to_string(this->revision) + "}";
        lock.unlock();
        return answer(stream, 200, body);
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, Item> items;
    std::map<int64_t, Lease> leases;
    std::map<std::string, Beat> beats;
    std::deque<Event> history; ///< all of it: a case is shorter than many histories
    int64_t revision = 1;
    int64_t lastLease = 70000;
    Server server;
};

// ---- engines and plain servers

struct Run {
    int64_t at;
    std::string attempt;
    std::string engine;
    int64_t version;
};

/// What all servers ran.
class Runs {
public:
    void add(const Run& run)
    {
        const std::lock_guard lock(this->mutex);
        this->list.push_back(run);
    }
    std::vector<Run> all()
    {
        const std::lock_guard lock(this->mutex);
        return this->list;
    }

private:
    std::mutex mutex;
    std::vector<Run> list;
};

struct EngineSettings {
    std::string id;
    std::string service;
    std::string zone;
    std::string model; ///< empty: a plain server
    int slots = 128;
    int64_t workMs = 20; ///< until the first event, or the answer
    int events = 4;
    int64_t eventMs = 10;
    int64_t loadMs = 1800; ///< of new weights
    int64_t beatMs = 1200;
};

class Engine {
public:
    Engine(const EngineSettings& settings, Store& store, Runs& runs, Record& record)
        : settings(settings)
        , store(store)
        , runs(runs)
        , record(record)
        , born(std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch()).count())
        , server([this](Stream& stream, const Request& request) { return this->handle(stream, request); })
    {
        std::thread([this] {
            while (true) {
                this->beat();
                sleepMs(this->settings.beatMs);
            }
        }).detach();
    }

    int64_t version() const
    {
        return this->weights;
    }
    int orders() const
    {
        return this->ordersReceived;
    }
    const std::string& id() const
    {
        return this->settings.id;
    }

private:
    void beat()
    {
        const std::lock_guard lock(this->beatMutex);
        std::string models;
        if (!this->settings.model.empty())
            models = "\"stage\":\"unified\",\"models\":[" + this->modelText() + "],";
        this->store.beat("servers/" + this->settings.id,
            "{\"service\":" + quoted(this->settings.service) + ",\"address\":" + quoted(this->server.endpoint)
                + ",\"zone\":" + quoted(this->settings.zone) + ",\"version\":\"v1\",\"slots\":"
                + std::to_string(this->settings.slots) + ",\"state\":\"ready\",\"cold_remaining_ms\":0," + models
                + "\"born\":" + std::to_string(this->born),
            ++this->sequence, Ms(this->settings.beatMs));
    }
    std::string modelText() const
    {
        return "{\"name\":" + quoted(this->settings.model) + ",\"version\":" + std::to_string(this->weights)
            + ",\"adapters\":[]}";
    }
    bool answer(Stream& stream, int status, Headers headers, const std::string& body) const
    {
        headers.emplace_back("X-Dragonflyarch-Instance-Id", this->settings.id);
        return stream.send(responseText(status, headers, body));
    }

    bool handle(Stream& stream, const Request& request)
    {
        const auto path = request.path();
        const auto expected = request.header("X-Dragonflyarch-Expect-Instance");
        if (!expected.empty() && expected != this->settings.id)
            return this->answer(stream, 421, {}, "");
        if (path == "/health")
            return this->answer(stream, 200, {}, "");
        if (path == "/api/report") {
            return this->answer(stream, 200, { { "Content-Type", "application/json" } },
                "{\"stage\":\"unified\",\"models\":[" + this->modelText() + "],\"busy\":"
                    + (this->isLoading ? "true" : "false") + ",\"seq\":" + std::to_string(this->accepted)
                    + ",\"queued\":0,\"active\":" + std::to_string(this->active) + ",\"kv_used\":0,\"kv_total\":238579"
                    + ",\"handles\":0}");
        }
        if (path == "/api/order")
            return this->order(stream, parseJson(request.body));
        return this->run(stream, request);
    }

    bool order(Stream& stream, const Json& body)
    {
        const std::lock_guard lock(this->orderMutex);
        ++this->ordersReceived;
        const auto wanted = body["version"].integer();
        const auto token = body["fencing_token"].integer();
        this->record.line("order at " + this->settings.id + " (service " + this->settings.service + ") from "
            + body["holder"].text + " with token " + std::to_string(token) + ": version " + std::to_string(wanted));
        if (body["holder"].text.empty() || body["fencing_token"].kind != Json::Kind::Number)
            return this->answer(stream, 400, {}, "");
        if (token < this->highestToken)
            return this->answer(stream, 412, {}, "");
        this->highestToken = token;
        const bool isOther = body["expected"].kind == Json::Kind::Number && body["expected"].integer() != this->accepted;
        if (this->isLoading || isOther)
            return this->answer(stream, 409, {}, "");
        if (wanted == this->weights)
            return this->answer(stream, 200, {}, "");
        ++this->accepted;
        this->isLoading = true;
        std::thread([this, wanted] {
            while (this->active > 0) // "queue": runs finish first
                sleepMs(5);
            sleepMs(this->settings.loadMs);
            this->weights = wanted;
            this->isLoading = false;
            this->record.line(this->settings.id + " has version " + std::to_string(wanted));
            this->beat();
        }).detach();
        return this->answer(stream, 202, {}, "");
    }

    bool run(Stream& stream, const Request& request)
    {
        const auto attempt = request.header("X-Dragonflyarch-Attempt-Id");
        Headers headers { { "X-Dragonflyarch-Attempt-Id", attempt } };
        const auto version = request.header("X-Dragonflyarch-Expect-Version");
        if (!version.empty() && version != std::to_string(this->weights))
            return this->answer(stream, 421, headers, "");
        if (this->isLoading || this->active >= this->settings.slots) {
            headers.emplace_back("X-Dragonflyarch-Not-Executed", "1");
            return this->answer(stream, 503, headers, "");
        }
        ++this->active;
        this->runs.add({ nowMs(), attempt, this->settings.id, this->weights });
        headers.emplace_back("X-Dragonflyarch-Response-Stamp", "stamp." + attempt);
        const auto until = Clock::now() + Ms(this->settings.workMs);
        bool isKept = true;
        while (isKept && Clock::now() < until) {
            sleepMs(std::min<int64_t>(20, std::max<int64_t>(1, std::chrono::duration_cast<Ms>(until - Clock::now()).count())));
            isKept = !stream.isClosed();
        }
        if (isKept && this->settings.model.empty())
            isKept = this->answer(stream, 200, headers, "done by " + this->settings.id);
        else if (isKept)
            isKept = this->sendEvents(stream, headers);
        --this->active;
        return isKept;
    }

    bool sendEvents(Stream& stream, const Headers& headers)
    {
        std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                           "X-Dragonflyarch-Weight-Versions: "
            + std::to_string(this->weights) + "\r\n";
        for (const auto& [name, value] : headers)
            head += name + ": " + value + "\r\n";
        if (!stream.send(head + "\r\n"))
            return false;
        for (int i = 1; i <= this->settings.events; ++i) {
            const auto event = "id: " + std::to_string(i) + "\ndata: token\n\n";
            char size[16];
            std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
            if (!stream.send(size + event + "\r\n"))
                return false;
            sleepMs(this->settings.eventMs);
        }
        return stream.send("0\r\n\r\n");
    }

    EngineSettings settings;
    Store& store;
    Runs& runs;
    Record& record;
    int64_t born;
    std::atomic<bool> isLoading { false };
    std::atomic<int64_t> weights { 1 };
    std::atomic<int> active { 0 };
    std::atomic<int> ordersReceived { 0 };
    std::atomic<int64_t> accepted { 0 };
    int64_t highestToken = 0;
    int64_t sequence = 0;
    std::mutex beatMutex;
    std::mutex orderMutex;
    Server server;
};

// ---- clients

struct Answer {
    int status = 0; ///< 0: no answer
    bool isComplete = false;
    bool isStamped = false;
    std::string end; ///< how it ended if there is no answer
    int64_t tookMs = 0;
};

struct Ask {
    std::string method = "POST";
    std::string path;
    std::string host = "site.example";
    std::string attempt;
    std::string key = "key-of-first";
    std::string model;
    std::string body;
    int64_t deadlineMs = 3000;
};

/// Sends one request on a new channel and waits for its answer, within its deadline.
inline Answer ask(const std::string& front, const Ask& spec)
{
    const auto from = Clock::now();
    const auto until = from + Ms(spec.deadlineMs);
    Answer answer;
    auto stream = connectTo(front);
    std::string text = spec.method + " " + spec.path + " HTTP/1.1\r\nHost: " + spec.host
        + "\r\nX-Dragonflyarch-Attempt-Id: " + spec.attempt
        + "\r\nX-Dragonflyarch-Deadline-Ms: " + std::to_string(spec.deadlineMs)
        + "\r\nAuthorization: Bearer " + spec.key + "\r\n";
    if (!spec.model.empty())
        text += "X-Dragonflyarch-Model: " + spec.model
            + "\r\nX-Dragonflyarch-Token-Usage: 300,10\r\nX-Dragonflyarch-Prompt-Prefix: aa01:200," + spec.attempt
            + ":100\r\n";
    if (spec.method != "GET")
        text += "Content-Length: " + std::to_string(spec.body.size()) + "\r\n";
    Headers headers;
    std::string first;
    std::string body;
    if (!stream)
        answer.end = "no connection";
    else if (!stream->send(text + "\r\n" + spec.body))
        answer.end = "closed while it was sent";
    else if (!readHead(*stream, until, first, headers))
        answer.end = stream->timedOut ? "no answer within the deadline" : "channel closed without an answer";
    else {
        answer.status = std::atoi(first.c_str() + first.find(' '));
        answer.isStamped = !headerOf(headers, "X-Dragonflyarch-Response-Stamp").empty();
        answer.isComplete = readBody(*stream, until, headers, body);
        if (!answer.isComplete)
            answer.end = "answer broken off";
    }
    answer.tookMs = std::chrono::duration_cast<Ms>(Clock::now() - from).count();
    return answer;
}

inline std::string textOf(const Answer& answer)
{
    return (answer.status ? std::to_string(answer.status) : std::string("no answer"))
        + (answer.end.empty() ? "" : " (" + answer.end + ")") + " after " + std::to_string(answer.tookMs) + " ms";
}

// ---- the project's instances

/// A process that ends with this program.
class Process {
public:
    Process(std::vector<std::string> arguments, const std::string& outputFile)
    {
        this->id = ::fork();
        if (this->id)
            return;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out = ::open(outputFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(out, 1);
        ::dup2(out, 2);
        std::vector<char*> list;
        for (auto& each : arguments)
            list.push_back(each.data());
        list.push_back(nullptr);
        ::execv(list[0], list.data());
        ::_exit(127);
    }
    ~Process()
    {
        this->kill();
    }
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    void kill()
    {
        if (this->id <= 0)
            return;
        ::kill(this->id, SIGKILL);
        ::waitpid(this->id, nullptr, 0);
        this->id = 0;
    }

private:
    pid_t id = -1;
};

/// A port that was free a moment ago.
inline std::string freeEndpoint()
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = addressOf("127.0.0.1:0");
    ::bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    const auto endpoint = nameOf(descriptor);
    ::close(descriptor);
    return endpoint;
}

/// An address that refuses connections as long as this program runs: bound, but not listening.
inline std::string refusingEndpoint()
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = addressOf("127.0.0.1:0");
    ::bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    return nameOf(descriptor);
}

struct InstanceSettings {
    std::string name;
    std::string zone;
    std::string region;
    std::string regions; ///< as in the template
    int memoryMb = 260;
};

/// One instance, with the settings that the template of the deploy file gives for the bounds of the small sites.
class Instance {
public:
    Instance(const InstanceSettings& settings, const std::string& program, const std::string& folder,
        const std::string& store)
        : program(program)
        , file(folder + "/" + settings.name + ".yaml")
        , log(folder + "/" + settings.name + ".log")
    {
        this->front = freeEndpoint();
        this->ready = freeEndpoint();
        std::ofstream(this->file) << "interface: forwarding\ninstance: " << settings.name << "\nregion: "
                                  << settings.region << "\ndataCentre: " << settings.zone << "\nregions: { "
                                  << settings.regions << " }\nlisten: " << this->front << "\nadmin: " << this->ready
                                  << "\nmetrics: " << freeEndpoint() << "\npeers: " << freeEndpoint()
                                  << "\ntunnels: " << freeEndpoint() << "\nprocessorShare: 0.25\nmemory: "
                                  << settings.memoryMb << "MiB\nplatform: [ " << store
                                  << " ]\nhttp:\n  connections: 2000\n  connectionsPerAddress: 2000\n"
                                     "routing:\n  policy: least-cost\n  prefixSlots: 16384\n"
                                     "drain:\n  grace: 8s\n"
                                     "forwarding:\n  revocationTime: 5000ms\n  weightsTime: 15000ms\n"
                                     "  drainTime: 3000ms\n  orderLease: 3000ms\n  storeWritesPerSecond: 400\n"
                                     "  retryRatio: 0.2\n  retryWindow: 10s\n";
        this->start();
    }
    void start()
    {
        this->process = std::make_unique<Process>(
            std::vector<std::string> { this->program, "--settings", this->file }, this->log);
    }
    bool isReady() const
    {
        auto stream = connectTo(this->ready);
        Headers headers;
        std::string first;
        return stream && stream->send("GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            && readHead(*stream, Clock::now() + std::chrono::seconds(1), first, headers)
            && first.find(" 200") != std::string::npos;
    }
    bool waitUntilReady(int64_t time) const
    {
        for (const auto end = nowMs() + time; nowMs() < end; sleepMs(50)) {
            if (this->isReady())
                return true;
        }
        return false;
    }

    std::string front;
    std::string ready;
    std::unique_ptr<Process> process;

private:
    std::string program;
    std::string file;
    std::string log;
};

inline std::string configText(int version)
{
    return "{\"version\":" + std::to_string(version)
        + ",\"routes\":["
          "{\"name\":\"plan\",\"host\":\"site.example\",\"prefix\":\"/plan/\",\"kind\":\"streaming\",\"timeout_ms\":8000,"
          "\"target_latency_ms\":800,\"priority\":1,\"service\":\"engines\",\"max_attempts\":1,\"anonymous\":false,"
          "\"sticky\":true,\"resumable\":false,\"gap_aim_ms\":300},"
          "{\"name\":\"reply\",\"host\":\"site.example\",\"prefix\":\"/reply/\",\"kind\":\"streaming\","
          "\"timeout_ms\":4000,\"target_latency_ms\":500,\"priority\":0,\"service\":\"engines\",\"max_attempts\":2,"
          "\"anonymous\":false,\"sticky\":true,\"resumable\":true,\"gap_aim_ms\":300},"
          "{\"name\":\"book\",\"host\":\"site.example\",\"prefix\":\"/book/\",\"kind\":\"non_idempotent\","
          "\"timeout_ms\":3000,\"target_latency_ms\":200,\"priority\":2,\"service\":\"desk\",\"max_attempts\":1,"
          "\"anonymous\":false,\"sticky\":false,\"resumable\":false}],"
          "\"services\":["
          "{\"name\":\"engines\",\"health_path\":\"/health\",\"max_connections\":630,\"protocol\":\"h1\",\"tls\":false,"
          "\"engine\":{\"slots\":128,\"kv_capacity_tokens\":238579,\"kv_token_bytes\":18432,\"link_mbps\":370000.0,"
          "\"moves\":true,\"backups\":true,\"stride\":5,\"max_inflight\":12,\"pin_ms\":4000.0,\"hold_ms\":2000.0,"
          "\"handle_s\":5.0,\"models\":[{\"name\":\"m0\"}]}},"
          "{\"name\":\"desk\",\"health_path\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}],"
          "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
          "\"idle_timeout_ms\":15000},"
          "\"tenants\":[{\"name\":\"first\",\"api_keys\":[\"key-of-first\"],\"priority\":1,\"isolated\":false}]}";
}

/// Whether the disruption is wanted: not with TROUBLE=0 in the environment.
inline bool isTroubled()
{
    const char* trouble = std::getenv("TROUBLE");
    return !trouble || std::string(trouble) != "0";
}

}

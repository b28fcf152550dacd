#pragma once
// A target that answers each request with an opening and then the same bytes for ever, in threads of its own.

#include "base/Base.h"
#include "tests/support/Process.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace testing {

/// What is sent for one request.
struct EndlessAnswer {
    std::string opening;
    std::string repeated; ///< until the connection is closed
};

class EndlessTarget {
public:
    /// @param answerTo gives the answer to a request head; called from the threads of the connections
    explicit EndlessTarget(std::function<EndlessAnswer(const std::string&)> answerTo)
        : listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
        , answerTo(std::move(answerTo))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(address);
        require(
            !bind(this->listener, reinterpret_cast<sockaddr*>(&address), length) && !listen(this->listener, SOMAXCONN),
            "the endless target cannot listen");
        getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &length);
        this->endpoint = { "127.0.0.1", ntohs(address.sin_port) };
        this->acceptor = std::thread([this] { this->acceptAll(); });
    }
    ~EndlessTarget()
    {
        this->isEnding = true;
        shutdown(this->listener, SHUT_RDWR);
        this->acceptor.join();
        for (const int descriptor : this->descriptors)
            shutdown(descriptor, SHUT_RDWR);
        for (auto& sender : this->senders)
            sender.join();
        for (const int descriptor : this->descriptors)
            close(descriptor);
        close(this->listener);
    }
    EndlessTarget(const EndlessTarget&) = delete;
    EndlessTarget& operator=(const EndlessTarget&) = delete;

    dragonfly::Endpoint address() const
    {
        return this->endpoint;
    }
    /// The number of requests that have arrived.
    int arrivals() const
    {
        return this->arrived;
    }
    /// The number of connections that still receive.
    int sending() const
    {
        return this->open;
    }
    /// The most bytes that a connection took.
    size_t mostBytes() const
    {
        return this->most;
    }

private:
    void acceptAll()
    {
        for (;;) {
            const int connection = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (connection < 0)
                return;
            this->descriptors.push_back(connection);
            this->senders.emplace_back([this, connection] { this->serve(connection); });
        }
    }

    void serve(int connection)
    {
        std::string head;
        char received[4096];
        while (head.find("\r\n\r\n") == std::string::npos) {
            const auto count = read(connection, received, sizeof(received));
            if (count <= 0)
                return;
            head.append(received, static_cast<size_t>(count));
        }
        ++this->arrived;
        ++this->open;
        const auto answer = this->answerTo(head);
        std::string block = answer.repeated;
        while (!block.empty() && block.size() < blockBytes)
            block += answer.repeated;
        size_t sent = 0;
        for (bool goesOn = this->write(connection, answer.opening, sent); goesOn && !block.empty();)
            goesOn = this->write(connection, block, sent);
        auto before = this->most.load();
        while (sent > before && !this->most.compare_exchange_weak(before, sent)) { }
        --this->open;
        shutdown(connection, SHUT_RDWR);
    }

    bool write(int connection, std::string_view bytes, size_t& sent) const
    {
        while (!bytes.empty()) {
            const auto count = send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (count <= 0 || this->isEnding || sent > maxBytes)
                return false;
            sent += static_cast<size_t>(count);
            bytes.remove_prefix(static_cast<size_t>(count));
        }
        return true;
    }

    static constexpr size_t blockBytes = 16u << 10;
    /// Ends what a receiver without bounds would take, so that a failing test leaves the machine its memory.
    static constexpr size_t maxBytes = 24u << 20;

    int listener;
    std::function<EndlessAnswer(const std::string&)> answerTo;
    dragonfly::Endpoint endpoint;
    std::atomic<bool> isEnding = false;
    std::atomic<int> arrived = 0;
    std::atomic<int> open = 0;
    std::atomic<size_t> most = 0;
    std::vector<int> descriptors; ///< used by the acceptor's thread until it has ended
    std::vector<std::thread> senders;
    std::thread acceptor;
};

}

#pragma once
// Many callers at once, each of which sends given bytes as far as they are taken and then stays open without reading.

#include "tests/support/Process.h"

#include <arpa/inet.h>
#include <cerrno>
#include <fcntl.h>
#include <functional>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace testing {

/// Bytes that the system has received on connections at @p endpoint and that no process has read.
uint64_t unreadBytesAt(const dragonfly::Endpoint& endpoint);

class Crowd {
public:
    Crowd() = default;
    ~Crowd()
    {
        for (const auto& member : this->members)
            ::close(member.descriptor);
    }
    Crowd(const Crowd&) = delete;
    Crowd& operator=(const Crowd&) = delete;

    /// Connects a caller that is going to send @p bytes. One that cannot connect counts as closed.
    void add(const dragonfly::Endpoint& endpoint, std::string bytes)
    {
        Member member { socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), std::move(bytes), 0, false };
        const int receiveBufferBytes = 4096; // what is not read stays with the other side
        setsockopt(member.descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof(receiveBufferBytes));
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(endpoint.port);
        inet_pton(AF_INET, endpoint.host.c_str(), &address.sin_addr);
        member.isClosed = ::connect(member.descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0;
        const int on = 1;
        setsockopt(member.descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        fcntl(member.descriptor, F_SETFL, fcntl(member.descriptor, F_GETFL) | O_NONBLOCK);
        this->members.push_back(std::move(member));
    }
    /// Lets each caller send at most @p most bytes more; true once none has anything left that is taken.
    bool sendSome(size_t most)
    {
        bool hasEnded = true;
        for (auto& member : this->members) {
            const auto rest = std::string_view(member.bytes).substr(member.sent, most);
            if (member.isClosed || rest.empty())
                continue;
            const auto count = ::send(member.descriptor, rest.data(), rest.size(), MSG_NOSIGNAL);
            if (count >= 0)
                member.sent += static_cast<size_t>(count);
            else if (errno != EAGAIN && errno != EWOULDBLOCK)
                member.isClosed = true;
            hasEnded = hasEnded && (member.isClosed || member.sent == member.bytes.size());
        }
        return hasEnded;
    }
    /// Appends to what the caller @p number sends.
    void append(size_t number, std::string_view bytes)
    {
        this->members[number].bytes.append(bytes);
    }
    /// What has arrived at the caller @p number, as far as the system holds it.
    std::string peek(size_t number) const
    {
        char bytes[4096];
        const auto count = ::recv(this->members[number].descriptor, bytes, sizeof(bytes), MSG_PEEK | MSG_DONTWAIT);
        return { bytes, static_cast<size_t>(count > 0 ? count : 0) };
    }
    /// The number of callers of which some answer or the end of the connection has arrived.
    int answered() const
    {
        int count = 0;
        for (const auto& member : this->members) {
            char byte = 0;
            const auto received = ::recv(member.descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
            count += received >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
        }
        return count;
    }
    size_t size() const
    {
        return this->members.size();
    }

private:
    struct Member {
        int descriptor;
        std::string bytes;
        size_t sent;
        bool isClosed;
    };
    std::vector<Member> members;
};

}

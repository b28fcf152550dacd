#pragma once
// A caller on a blocking system socket, which does nothing that the test does not order.

#include "tests/support/Process.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace testing {

class RawCaller {
public:
    /// @param receiveBufferBytes size of the system's receive buffer; 0 for the default
    explicit RawCaller(const dragonfly::Endpoint& endpoint, int receiveBufferBytes = 0)
        : descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        if (receiveBufferBytes)
            setsockopt(this->descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof(receiveBufferBytes));
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(endpoint.port);
        inet_pton(AF_INET, endpoint.host.c_str(), &address.sin_addr);
        require(!connect(this->descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)), "no connection");
        const int on = 1;
        setsockopt(this->descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    ~RawCaller()
    {
        this->close();
    }
    RawCaller(const RawCaller&) = delete;
    RawCaller& operator=(const RawCaller&) = delete;

    bool send(std::string_view bytes) const
    {
        return ::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size());
    }
    void close()
    {
        if (this->descriptor >= 0)
            ::close(std::exchange(this->descriptor, -1));
    }
    /// Closes in a way that discards what is on its way in both directions.
    void reset()
    {
        const linger immediately { 1, 0 };
        setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
        this->close();
    }
    /// Ends the sending side only.
    void endSending() const
    {
        ::shutdown(this->descriptor, SHUT_WR);
    }
    /// Whether the other side has reset the connection, also if its end was received before.
    bool isReset() const
    {
        tcp_info info {};
        socklen_t length = sizeof(info);
        getsockopt(this->descriptor, IPPROTO_TCP, TCP_INFO, &info, &length);
        return info.tcpi_state == TCP_CLOSE;
    }
    /// Receives what the system holds, at most @p limit bytes.
    void receive(size_t limit = SIZE_MAX)
    {
        char bytes[16 << 10];
        while (limit && !this->ended) {
            const auto count = recv(this->descriptor, bytes, std::min(limit, sizeof(bytes)), MSG_DONTWAIT);
            if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
                return;
            this->ended = count <= 0;
            this->wasReset = count < 0;
            if (this->ended)
                return;
            this->received.append(bytes, static_cast<size_t>(count));
            limit -= static_cast<size_t>(count);
        }
    }
    /// Runs the event loop until the connection has ended.
    bool receiveToEnd(std::chrono::milliseconds timeout = std::chrono::seconds(5))
    {
        return waitUntil(
            [&] {
                this->receive();
                return this->ended;
            },
            timeout);
    }
    bool receiveUntil(std::string_view part, std::chrono::milliseconds timeout = std::chrono::seconds(5))
    {
        return waitUntil(
                   [&] {
                       this->receive();
                       return this->received.find(part) != std::string::npos || this->ended;
                   },
                   timeout)
            && this->received.find(part) != std::string::npos;
    }
    /// Number of successful answers received.
    int answers() const
    {
        constexpr std::string_view statusLine = "HTTP/1.1 200";
        int count = 0;
        for (auto at = this->received.find(statusLine); at != std::string::npos;
             at = this->received.find(statusLine, at + 1))
            ++count;
        return count;
    }

    std::string received;
    bool ended = false;
    bool wasReset = false;

private:
    int descriptor;
};

}

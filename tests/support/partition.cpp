// Preloaded into an instance: cuts its connections to some ports of the loopback interface, for it alone.
//
// The environment variable PARTITION_FILE names a file; while it is not empty it holds a mode and ports. The first port
// takes no connections: connects to it hang.
//   "hang SINK PORT..."     connects to the ports hang, what is sent on open connections is lost
//   "reset SINK PORT..."    connects are refused, open connections are reset when something is sent
//   "new SINK PORT..."      connects are refused, open connections live on

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstdlib>
#include <dlfcn.h>
#include <fstream>
#include <optional>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace {

struct Partition {
    std::string mode; ///< empty: none
    int sink = 0;
    std::vector<int> ports;

    bool covers(int port) const
    {
        return std::ranges::find(this->ports, port) != this->ports.end();
    }
};

Partition currentPartition()
{
    Partition partition;
    const char* path = std::getenv("PARTITION_FILE");
    std::ifstream file(path ? path : "");
    file >> partition.mode >> partition.sink;
    for (int port = 0; file >> port;)
        partition.ports.push_back(port);
    return partition;
}

int portOf(const sockaddr* address)
{
    if (address->sa_family == AF_INET)
        return ntohs(reinterpret_cast<const sockaddr_in*>(address)->sin_port);
    return address->sa_family == AF_INET6 ? ntohs(reinterpret_cast<const sockaddr_in6*>(address)->sin6_port) : 0;
}

template <typename Function> Function* next(const char* name)
{
    return reinterpret_cast<Function*>(dlsym(RTLD_NEXT, name));
}

}

extern "C" int connect(int descriptor, const sockaddr* address, socklen_t length)
{
    static auto* const original = next<int(int, const sockaddr*, socklen_t)>("connect");
    const auto partition = currentPartition();
    if (!partition.covers(portOf(address)))
        return original(descriptor, address, length);
    if (partition.mode != "hang") {
        errno = ECONNREFUSED;
        return -1;
    }
    sockaddr_storage sink {};
    std::copy_n(reinterpret_cast<const char*>(address), length, reinterpret_cast<char*>(&sink));
    if (address->sa_family == AF_INET6)
        reinterpret_cast<sockaddr_in6*>(&sink)->sin6_port = htons(static_cast<uint16_t>(partition.sink));
    else
        reinterpret_cast<sockaddr_in*>(&sink)->sin_port = htons(static_cast<uint16_t>(partition.sink));
    return original(descriptor, reinterpret_cast<const sockaddr*>(&sink), length);
}

namespace {

/// Whether bytes for @p descriptor are to be kept back, and the result of the call then.
std::optional<ssize_t> withhold(int descriptor, size_t count)
{
    sockaddr_storage peer {};
    socklen_t length = sizeof(peer);
    if (getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer), &length))
        return std::nullopt;
    const auto partition = currentPartition();
    const bool isOpen = partition.mode == "new" || !partition.covers(portOf(reinterpret_cast<const sockaddr*>(&peer)));
    if (isOpen)
        return std::nullopt;
    if (partition.mode == "hang")
        return static_cast<ssize_t>(count);
    const linger immediately { 1, 0 };
    setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
    shutdown(descriptor, SHUT_RDWR);
    errno = ECONNRESET;
    return -1;
}

}

extern "C" ssize_t send(int descriptor, const void* bytes, size_t count, int flags)
{
    static auto* const original = next<ssize_t(int, const void*, size_t, int)>("send");
    const auto withheld = withhold(descriptor, count);
    return withheld ? *withheld : original(descriptor, bytes, count, flags);
}

extern "C" ssize_t write(int descriptor, const void* bytes, size_t count)
{
    static auto* const original = next<ssize_t(int, const void*, size_t)>("write");
    const auto withheld = withhold(descriptor, count);
    return withheld ? *withheld : original(descriptor, bytes, count);
}

extern "C" ssize_t sendmsg(int descriptor, const msghdr* message, int flags)
{
    static auto* const original = next<ssize_t(int, const msghdr*, int)>("sendmsg");
    size_t count = 0;
    for (size_t i = 0; i < message->msg_iovlen; ++i)
        count += message->msg_iov[i].iov_len;
    const auto withheld = withhold(descriptor, count);
    return withheld ? *withheld : original(descriptor, message, flags);
}

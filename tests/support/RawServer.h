#pragma once
// A target that answers with given raw bytes and then closes, resets or keeps the connection open.

#include "base/Base.h"

#include <string>
#include <thread>
#include <vector>

namespace testing {

/// What happens to a connection after the answer was written.
enum class Ending {
    Close,
    Reset,
    KeepOpen, ///< the connection stays open and nothing more is sent
    Reuse, ///< the next request is expected on the same connection
};

/// The answer to one request.
struct RawAnswer {
    std::string bytes;
    Ending ending = Ending::Close;
    std::chrono::milliseconds endDelay { 0 }; ///< from the answer to the end of the connection
    std::string rest = {}; ///< sent after the delay, immediately before the end
};

/// Serves one connection after the other in its own thread: the first request gets the first answer, and so on.
class RawServer {
public:
    /// @param takesNoneFor until then connections are neither established nor refused
    explicit RawServer(
        std::vector<RawAnswer> answers, std::chrono::milliseconds takesNoneFor = std::chrono::milliseconds(0));
    ~RawServer();

    dragonfly::Endpoint address() const
    {
        return this->endpoint;
    }

private:
    /// Fills the listening socket's queue of connections.
    void fillQueue();
    void run(const std::vector<RawAnswer>& answers);
    /// Receives a request on @p connection and answers it; false if the caller closed the connection.
    static bool answer(int connection, const RawAnswer& answer);

    int listener = -1;
    int filler = -1; ///< the only connection that fits into the queue while no others are taken
    dragonfly::Endpoint endpoint;
    std::vector<int> keptOpen; ///< connections that stay open until destruction
    std::thread thread;
};

}

#pragma once
// A target that answers each connection with given raw bytes and then closes, resets or keeps it open.

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
};

/// The answer to one accepted connection.
struct RawAnswer {
    std::string bytes;
    Ending ending = Ending::Close;
    std::chrono::milliseconds endDelay { 0 }; ///< from the answer to the end of the connection
};

/// Serves one connection after the other in its own thread: the first connection gets the first answer, and so on.
class RawServer {
public:
    explicit RawServer(std::vector<RawAnswer> answers);
    ~RawServer();

    dragonfly::Endpoint address() const
    {
        return this->endpoint;
    }

private:
    void run(const std::vector<RawAnswer>& answers);

    int listener = -1;
    dragonfly::Endpoint endpoint;
    std::vector<int> keptOpen; ///< connections that stay open until destruction
    std::thread thread;
};

}

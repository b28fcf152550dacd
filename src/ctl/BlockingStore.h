#pragma once
// Synchronous access to the platform's service and to instances, for command-line tools.

#include "store/Store.h"

namespace dragonfly::ctl {

/// Wraps a store so that each call blocks until its result is known or the call times out.
class BlockingStore {
public:
    explicit BlockingStore(store::KeyValueStore& store);

    store::ReadResult read(const std::vector<store::ReadRequest>& ranges);
    store::SwapResult compareAndSwap(const std::string& key, int64_t expected, const std::string& value);
    store::WriteResult put(const std::string& key, const std::string& value);

private:
    store::KeyValueStore& store;
};

/// Sends a GET request and returns the body of the answer. An error unless its status is 200.
Result<std::string> fetch(const Endpoint& endpoint, const std::string& path);

}

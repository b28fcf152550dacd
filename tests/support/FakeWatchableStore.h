#pragma once
// A key-value service whose writes and leases the test answers itself. It returns no records.

#include "store/KeyValueStore.h"

namespace testing {

class FakeWatchableStore : public dragonfly::store::WatchableStore {
public:
    using Deadline = dragonfly::Deadline;
    template <typename Result> using Done = std::function<void(Result)>;

    struct Swap {
        std::string key;
        std::string value;
        int64_t expected = 0;
        Done<dragonfly::store::SwapResult> done;
    };
    struct Write {
        std::string key;
        std::string value;
        int64_t lease = 0;
    };

    void grantLease(std::chrono::seconds, Deadline, Done<dragonfly::store::LeaseResult> done) override
    {
        this->grants.push_back(std::move(done));
    }
    void put(const std::string& key, const std::string& value, int64_t lease, Deadline,
        Done<dragonfly::store::WriteResult> done) override
    {
        this->writes.push_back({ key, value, lease });
        this->puts.push_back(std::move(done));
    }
    void renewLease(int64_t, Deadline, Done<dragonfly::store::LeaseResult> done) override
    {
        this->renewals.push_back(std::move(done));
    }
    void endLease(int64_t lease, Deadline, Done<dragonfly::store::WriteResult>) override
    {
        this->endedLeases.push_back(lease);
    }
    void read(const std::vector<dragonfly::store::ReadRequest>&, Deadline, Done<dragonfly::store::ReadResult>) override
    {
    }
    void compareAndSwap(const std::string& key, int64_t expected, const std::string& value, Deadline,
        Done<dragonfly::store::SwapResult> done) override
    {
        this->swaps.push_back({ key, value, expected, std::move(done) });
    }
    void compareAndSwapLeased(const std::string&, int64_t, const std::string&, int64_t, Deadline,
        Done<dragonfly::store::LeasedSwapResult>) override
    {
    }
    void remove(const std::string& key, Deadline, Done<dragonfly::store::WriteResult> done) override
    {
        this->removedKeys.push_back(key);
        this->removals.push_back(std::move(done));
    }
    void readPage(const std::string&, const std::string&, Deadline, Done<dragonfly::store::PageResult>) override
    {
    }
    void watch(const std::string&, int64_t, dragonfly::Clock::time_point, Deadline,
        Done<dragonfly::store::WatchResult>) override
    {
    }
    void checkRevision(const std::string&, int64_t, Deadline, Done<dragonfly::store::CheckResult>) override
    {
    }

    std::vector<Done<dragonfly::store::LeaseResult>> grants;
    std::vector<Swap> swaps; ///< unconditional on a lease
    std::vector<Write> writes; ///< in the order of puts
    std::vector<Done<dragonfly::store::WriteResult>> puts;
    std::vector<std::string> removedKeys; ///< in the order of removals
    std::vector<Done<dragonfly::store::WriteResult>> removals;
    std::vector<Done<dragonfly::store::LeaseResult>> renewals;
    std::vector<int64_t> endedLeases;
};

}

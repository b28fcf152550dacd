#pragma once
// A store in the memory of the test that grants leadership and keeps what is written.

#include "store/KeyValueStore.h"

#include <set>

namespace testing {

/// Answers at once. Refuses calls as told.
class RefusingStore : public dragonfly::store::WatchableStore {
public:
    int refusedConfirmationLeases = 0; ///< how many are refused
    int refusedConfirmations = 0; ///< how many writes of confirmations are refused
    int refusedClaims = 0;
    int claims = 0;
    int endedLeases = 0;
    int acquisitions = 0; ///< of leadership
    int checks = 0; ///< of revisions
    bool holdsChecks = false; ///< their answers are on the way for as long as a test likes
    std::vector<std::function<void(dragonfly::store::CheckResult)>> heldChecks;
    int64_t observed = 0; ///< revision of the observation
    std::set<std::string> written;
    struct Write {
        std::string value;
        std::chrono::seconds timeToLive { 0 };
        dragonfly::BootClock::time_point at;
    };
    std::map<std::string, std::vector<Write>> writes; ///< under leases, by key
    std::vector<std::string> renewals; ///< keys whose leases were renewed
    int64_t revision = 40;
    std::map<std::string, dragonfly::store::KeyValue> swapped;

    void compareAndSwapLeased(const std::string&, int64_t, const std::string&, int64_t, dragonfly::Deadline,
        std::function<void(dragonfly::store::LeasedSwapResult)> done) override
    {
        this->isLeader = true;
        ++this->acquisitions;
        done(dragonfly::store::Swapped { ++this->revision });
    }
    void compareAndSwap(const std::string& key, int64_t expected, const std::string& value, dragonfly::Deadline,
        std::function<void(dragonfly::store::SwapResult)> done) override
    {
        ++this->claims;
        if (this->refusedClaims-- > 0) {
            done(dragonfly::store::StoreFailure::NotExecuted);
            return;
        }
        auto& current = this->swapped[key];
        if (current.modRevision != expected) {
            done(dragonfly::store::Conflict { current });
            return;
        }
        current = { key, value, ++this->revision };
        this->written.insert(key);
        done(dragonfly::store::Swapped { current.modRevision });
    }
    void grantLease(std::chrono::seconds timeToLive, dragonfly::Deadline,
        std::function<void(dragonfly::store::LeaseResult)> done) override
    {
        if (this->isLeader && this->refusedConfirmationLeases-- > 0) {
            done(dragonfly::store::StoreFailure::NotExecuted);
            return;
        }
        this->leases[++this->revision] = timeToLive;
        done(this->revision);
    }
    void put(const std::string& key, const std::string& value, int64_t lease, dragonfly::Deadline,
        std::function<void(dragonfly::store::WriteResult)> done) override
    {
        if (this->refusedConfirmations-- > 0) {
            done(dragonfly::store::StoreFailure::NotExecuted);
            return;
        }
        this->written.insert(key);
        this->writes[key].push_back({ value, this->leases[lease], dragonfly::BootClock::now() });
        this->keys[lease] = key;
        done(dragonfly::Success {});
    }
    void renewLease(
        int64_t lease, dragonfly::Deadline, std::function<void(dragonfly::store::LeaseResult)> done) override
    {
        if (this->keys.contains(lease))
            this->renewals.push_back(this->keys[lease]);
        done(lease);
    }
    void endLease(int64_t, dragonfly::Deadline, std::function<void(dragonfly::store::WriteResult)>) override
    {
        ++this->endedLeases;
    }
    void read(const std::vector<dragonfly::store::ReadRequest>&, dragonfly::Deadline,
        std::function<void(dragonfly::store::ReadResult)>) override
    {
    }
    void remove(const std::string&, dragonfly::Deadline, std::function<void(dragonfly::store::WriteResult)>) override
    {
    }
    void readPage(const std::string&, const std::string&, dragonfly::Deadline,
        std::function<void(dragonfly::store::PageResult)>) override
    {
    }
    void watch(const std::string&, int64_t, dragonfly::Clock::time_point, dragonfly::Deadline,
        std::function<void(dragonfly::store::WatchResult)>) override
    {
    }
    void checkRevision(const std::string& key, int64_t expected, dragonfly::Deadline,
        std::function<void(dragonfly::store::CheckResult)> done) override
    {
        ++this->checks;
        if (this->holdsChecks)
            this->heldChecks.push_back(std::move(done));
        else if (this->observed == expected)
            done(dragonfly::store::Unchanged {});
        else
            done(dragonfly::store::Conflict { { key, {}, this->observed } });
    }
    dragonfly::Clock::time_point lastOutageEnd() const override
    {
        return {};
    }

private:
    bool isLeader = false;
    std::map<int64_t, std::chrono::seconds> leases;
    std::map<int64_t, std::string> keys; ///< by lease
};

}

#pragma once
// Storage of the key-value stand-ins: keys with revisions, and leases that expire.

#include "base/Base.h"

#include <map>
#include <string>

namespace standins {

struct StoredValue {
    std::string value;
    int64_t modRevision = 0; ///< revision of the last write
    int64_t lease = 0; ///< identifier of the lease; 0 for none
};

struct Lease {
    std::chrono::seconds timeToLive { 0 };
    dragonfly::Deadline deadline;
};

struct KeyValueTable {
    std::map<std::string, StoredValue> values;
    std::map<int64_t, Lease> leases;
    int64_t revision = 1;
    int64_t lastLeaseId = 0;

    /// Revision of the last write to @p key; 0 when the key does not exist.
    int64_t modRevisionOf(const std::string& key) const
    {
        const auto found = this->values.find(key);
        return found == this->values.end() ? 0 : found->second.modRevision;
    }

    void put(const std::string& key, const std::string& value, int64_t lease)
    {
        this->values[key] = { value, ++this->revision, lease };
    }

    /// Removes expired leases and the keys attached to them.
    void expireLeases(dragonfly::Clock::time_point now)
    {
        for (auto lease = this->leases.begin(); lease != this->leases.end();) {
            if (lease->second.deadline > now) {
                ++lease;
                continue;
            }
            std::erase_if(this->values, [&](const auto& entry) { return entry.second.lease == lease->first; });
            lease = this->leases.erase(lease);
        }
    }
};

}

#pragma once
// The data of the platform stand-in: keys with revisions, and leases that end.

#include "base/Base.h"

#include <map>
#include <string>

namespace standins {

struct StoredValue {
    std::string value;
    int64_t modRevision = 0;
    int64_t lease = 0;
};

struct Lease {
    std::chrono::seconds life { 0 };
    dragonfly::Deadline deadline;
};

struct KeyValueTable {
    std::map<std::string, StoredValue> values;
    std::map<int64_t, Lease> leases;
    int64_t revision = 1;
    int64_t lastLease = 0;

    int64_t modRevisionOf(const std::string& key) const
    {
        const auto found = this->values.find(key);
        return found == this->values.end() ? 0 : found->second.modRevision;
    }

    void put(const std::string& key, const std::string& value, int64_t lease)
    {
        this->values[key] = { value, ++this->revision, lease };
    }

    void endLeases(dragonfly::Clock::time_point now)
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

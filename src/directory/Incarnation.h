#pragma once
// Identifies one process of a target: a target that starts again may keep its id.

#include <cstdint>
#include <string>
#include <tuple>

namespace dragonfly::directory {

struct Incarnation {
    std::string target;
    int64_t startedUnixMs = 0;

    bool operator==(const Incarnation&) const = default;
    bool operator<(const Incarnation& other) const
    {
        return std::tie(this->target, this->startedUnixMs) < std::tie(other.target, other.startedUnixMs);
    }
};

}

#pragma once
// A configuration as it is published: a manifest over content-addressed parts.
//
// A change of one object changes one part and the manifest, so that little has to be fetched. The
// manifest is replaced by one compare-and-swap, so that a set is in force whole or not at all.

#include "base/Base.h"
#include "config.pb.h"

#include <map>
#include <optional>
#include <string>

namespace dragonfly::config {

inline constexpr std::string_view manifestKey = "dragonfly/manifest";

/// The key of the part with digest @p sha256 in the platform's service.
std::string partKey(std::string_view sha256);

/// A manifest with all its parts. Invariant: every reference has its part, with the digest it names.
struct Publication {
    pb::Manifest manifest;
    std::string manifestBytes;
    std::map<std::string, std::string> parts; ///< digest to bytes

    std::string digest() const
    {
        return sha256(this->manifestBytes);
    }
};

/// Splits @p objects into parts. The same objects give the same parts, whatever their order was.
Publication buildPublication(const pb::ConfigPart& objects, uint64_t revision, const std::string& author);

/// The revision to publish after @p previous: later than it, and than any that was published before now.
uint64_t nextRevision(uint64_t previous, WallClock::time_point now);

std::optional<pb::Manifest> parseManifest(std::string_view bytes);

/// The objects of all parts together, or nothing when a part is missing or does not parse.
std::optional<pb::ConfigPart> joinParts(const Publication& publication);

}

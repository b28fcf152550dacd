#pragma once
// The published form of a configuration: a manifest that refers to content-addressed parts.
//
// A change of one object changes only its part and the manifest, which keeps updates small. The manifest is
// replaced by a single compare-and-swap, which makes the publication of a whole set atomic.

#include "base/Base.h"
#include "config.pb.h"

#include <map>
#include <optional>
#include <string>

namespace dragonfly::config {

inline constexpr std::string_view manifestKey = "dragonfly/manifest";

/// Key in the platform's service of the part with the binary digest @p sha256.
std::string partKey(std::string_view sha256);

/// A manifest with its parts. Invariant of a complete publication: for each reference of the manifest, `parts` holds
/// the part with that digest.
struct Publication {
    pb::Manifest manifest;
    std::string manifestBytes; ///< serialized manifest
    std::map<std::string, std::string> parts; ///< serialized parts by digest

    /// Binary SHA-256 of the serialized manifest.
    std::string digest() const
    {
        return sha256(this->manifestBytes);
    }
};

/// Splits @p objects into parts. The parts don't depend on the order of the objects.
Publication buildPublication(const pb::ConfigPart& objects, uint64_t revision, const std::string& author);

/// The revision to publish after @p previous: higher than it, and than any revision published before @p now.
uint64_t nextRevision(uint64_t previous, WallClock::time_point now);

/// The parsed manifest, or nothing if @p bytes are no valid one.
std::optional<pb::Manifest> parseManifest(std::string_view bytes);

/// Merges the objects of all parts. Returns nothing if a part is missing or can't be parsed.
std::optional<pb::ConfigPart> joinParts(const Publication& publication);

}

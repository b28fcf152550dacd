#pragma once
// The software versions at which the resumable streams of each service may have begun.
//
// One record in the platform's service holds them for all instances. A stream begins only at an open version; one
// that joins others is opening first, until all instances know it. A version is removed only once every stream that
// began there is too old to be resumed. So a stream of a service with one version in the record began at that version,
// also for an instance that has just started.

#include <map>
#include <optional>
#include <set>
#include <string>

namespace dragonfly::streams {

enum class VersionPhase {
    Opening, ///< streams begin there once all instances know the version; some may have begun
    Open, ///< streams begin there
    Closed, ///< streams that began there may still be resumed
};

using VersionPhases = std::map<std::string, VersionPhase>; ///< by software version
using ServiceVersions = std::map<std::string, VersionPhases>; ///< by service

std::string encodeVersions(const ServiceVersions& versions);
/// Nothing if @p bytes are no such record.
std::optional<ServiceVersions> decodeVersions(const std::string& bytes);

/// What one instance observes of the versions.
struct VersionObservations {
    using Versions = std::map<std::string, std::set<std::string>>; ///< by service

    Versions registered; ///< those of targets that take requests
    Versions settled; ///< those that have been opening for so long that all instances know them
    Versions abandoned; ///< those without such a target for long enough to be closed
    Versions expired; ///< those closed for so long that no stream that began there is resumed any more
};

/// The record that is to follow @p current. The only version of a service is neither closed nor removed.
ServiceVersions planVersions(const ServiceVersions& current, const VersionObservations& observed);

}

#pragma once
// Reads the fields of a YAML map and collects all problems with their file and line.

#include "base/Base.h"

#include <limits>
#include <map>
#include <set>
#include <string>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace dragonfly::config {

/// A line of a file.
struct Location {
    std::string file;
    int line = 0; ///< counted from 1
};

/// An error in an operator's file. The message names what was expected.
struct Problem {
    Location where;
    std::string message;
};

/// "FILE:LINE: MESSAGE".
std::string toString(const Problem& problem);

/// Reads the fields of one map. An absent field gives its fallback, an invalid one is reported as a problem. Call
/// reportUnknownFields() last: it reports the fields that were not read as unknown.
///
/// @code
/// MapReader reader("entry.yaml", node, problems);
/// const auto name = reader.requiredText("name");
/// const auto threads = reader.number("threads", 4, 1, 256);
/// reader.reportUnknownFields();
/// @endcode
class MapReader {
public:
    MapReader(std::string file, const YAML::Node& node, std::vector<Problem>& problems);

    /// A non-empty string; an absent or empty one is reported.
    std::string requiredText(const std::string& field);
    std::string text(const std::string& field, std::string fallback = {});
    /// A list of strings; empty if the field is absent.
    std::vector<std::string> texts(const std::string& field);
    /// An integer from @p min to @p max.
    uint64_t number(const std::string& field, uint64_t fallback, uint64_t min, uint64_t max);
    /// A number from 0 to 1.
    double fraction(const std::string& field, double fallback);
    bool flag(const std::string& field, bool fallback);
    /// A duration with its unit: "250ms", "30s" or "5m". At most @p max, by default what fits into a timer.
    std::chrono::milliseconds duration(const std::string& field, std::chrono::milliseconds fallback,
        std::chrono::milliseconds max = std::chrono::hours(24 * 24));
    /// A number of bytes with its unit, at most @p max: "512B", "64KiB" or "8MiB".
    uint64_t bytes(const std::string& field, uint64_t fallback, uint64_t max = std::numeric_limits<uint64_t>::max());
    /// An address to listen on; port 0 stands for any.
    Endpoint endpoint(const std::string& field, const std::string& fallback);
    /// The address of another process.
    Endpoint remoteEndpoint(const std::string& field);
    /// A list of addresses of other processes.
    std::vector<Endpoint> remoteEndpoints(const std::string& field);
    /// The index in @p names of the field's value.
    size_t choice(const std::string& field, const std::vector<std::string>& names, size_t fallback);
    /// The value of a field that is read by a MapReader of its own.
    YAML::Node child(const std::string& field);

    /// Adds a problem at the location of @p field; an empty @p field stands for the whole map.
    void addProblem(const std::string& field, const std::string& message);
    /// Reports each field that was not read as unknown.
    void reportUnknownFields();
    /// Location of @p field, or of the map if the field is absent.
    Location locationOf(const std::string& field) const;

private:
    /// Returns the value of a field and marks the field as read.
    YAML::Node readField(const std::string& field);

    std::string file;
    YAML::Node node;
    std::vector<Problem>& problems;
    std::set<std::string> readFields; ///< fields read so far
};

}

#pragma once
// Reads one YAML map field by field and collects every problem with its file and line.

#include "base/Base.h"

#include <map>
#include <set>
#include <string>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace dragonfly::config {

struct Location {
    std::string file;
    int line = 0; ///< counted from 1
};

/// Something that is wrong with an operator's file, and what would be right.
struct Problem {
    Location where;
    std::string message;
};

std::string toString(const Problem& problem);

/// Reads the fields of one map. Call finish() last: it reports the fields nobody asked for.
///
/// @code
/// MapReader reader("entry.yaml", node, problems);
/// const auto name = reader.requiredText("name");
/// const auto threads = reader.number("threads", 4, 1, 256);
/// reader.finish();
/// @endcode
class MapReader {
public:
    MapReader(std::string file, const YAML::Node& node, std::vector<Problem>& problems);

    std::string requiredText(const std::string& field);
    std::string text(const std::string& field, std::string fallback = {});
    std::vector<std::string> texts(const std::string& field);
    uint64_t number(const std::string& field, uint64_t fallback, uint64_t least, uint64_t most);
    double fraction(const std::string& field, double fallback);
    bool flag(const std::string& field, bool fallback);
    /// A duration with its unit: "250ms", "30s" or "5m".
    std::chrono::milliseconds duration(const std::string& field, std::chrono::milliseconds fallback);
    /// A number of bytes with its unit: "512B", "64KiB" or "8MiB".
    uint64_t bytes(const std::string& field, uint64_t fallback);
    Endpoint endpoint(const std::string& field, const std::string& fallback);
    std::vector<Endpoint> endpoints(const std::string& field);
    size_t choice(const std::string& field, const std::vector<std::string>& names, size_t fallback);
    YAML::Node child(const std::string& field);

    void complain(const std::string& field, const std::string& message);
    void finish();
    Location locationOf(const std::string& field) const;

private:
    YAML::Node take(const std::string& field);

    std::string file;
    YAML::Node node;
    std::vector<Problem>& problems;
    std::set<std::string> asked;
};

}

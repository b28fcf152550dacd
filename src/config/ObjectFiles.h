#pragma once
// Reads operators' YAML files of named objects and checks the whole set together.

#include "config.pb.h"
#include "config/YamlReader.h"

#include <filesystem>

namespace dragonfly::config {

/// All objects of one configuration, with the place where each was written.
struct ObjectSet {
    pb::ConfigPart objects;
    std::map<std::string, Location> locations; ///< "route/survey" to its file and line
};

struct LoadedObjects {
    ObjectSet set;
    std::vector<Problem> problems; ///< empty when the set may be published
};

/// Reads every *.yaml file below @p directory, in the order of their names, and checks the set.
LoadedObjects loadObjects(const std::filesystem::path& directory);

/// Checks names, references and limits over the whole set; one problem for each mistake.
std::vector<Problem> checkObjects(const ObjectSet& set);

}

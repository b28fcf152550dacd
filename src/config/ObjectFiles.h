#pragma once
// Reads named objects from operators' YAML files and validates the whole set.

#include "config.pb.h"
#include "config/YamlReader.h"

#include <filesystem>

namespace dragonfly::config {

/// All objects of one configuration, with their locations in the source files.
struct ObjectSet {
    pb::ConfigPart objects;
    std::map<std::string, Location> locations; ///< by kind and name, such as "route/survey"
};

/// Result of loading a directory.
struct LoadedObjects {
    ObjectSet set;
    std::vector<Problem> problems; ///< empty when the set may be published
};

/// Reads every *.yaml file below @p directory in order of path and validates the set.
LoadedObjects loadObjects(const std::filesystem::path& directory);

/// Validates keys, references and limits over the whole set; returns one problem for each violation.
std::vector<Problem> checkObjects(const ObjectSet& set);

}

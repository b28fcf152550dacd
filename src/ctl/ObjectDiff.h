#pragma once
// Compares two sets of configuration objects, by kind and name.

#include "config.pb.h"

#include <string>
#include <vector>

namespace dragonfly::ctl {

enum class ChangeKind {
    Added,
    Removed,
    Changed,
};

struct ObjectChange {
    ChangeKind kind;
    std::string object; ///< kind and name, such as "route/survey"
    std::string detail; ///< the fields that differ, one a line; empty unless the kind is Changed
};

std::vector<ObjectChange> diffObjects(const pb::ConfigPart& before, const pb::ConfigPart& after);
std::string toString(const ObjectChange& change);

/// An object, serialized as JSON.
struct NamedObject {
    std::string kind;
    std::string name;
    std::string json;
};

std::vector<NamedObject> listObjects(const pb::ConfigPart& objects);

}

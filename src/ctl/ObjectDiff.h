#pragma once
// What differs between two sets of objects, by kind and name.

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
    std::string object; ///< "route/survey"
    std::string detail; ///< the fields that differ; empty unless changed
};

std::vector<ObjectChange> diffObjects(const pb::ConfigPart& before, const pb::ConfigPart& after);
std::string toString(const ObjectChange& change);

/// An object as JSON, under its kind and name.
struct NamedObject {
    std::string kind;
    std::string name;
    std::string json;
};

std::vector<NamedObject> listObjects(const pb::ConfigPart& objects);

}

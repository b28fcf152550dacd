#pragma once
// Names of the versions of targets' software. Versions are only compared for equality.

#include <string>

namespace dragonfly::directory {

/// The bounded name that stands for @p text, which a target names as its version. Equal texts have equal names.
std::string softwareVersionOf(const std::string& text);

}

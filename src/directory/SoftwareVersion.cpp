#include "directory/SoftwareVersion.h"

#include "base/Digest.h"

namespace dragonfly::directory {

namespace {

    /// Limit on a name, which stands in log lines and in the records of instances.
    constexpr size_t maxNameBytes = 64;
    /// Kept of a longer text, in front of its hash.
    constexpr size_t keptBytes = 32;

}

std::string softwareVersionOf(const std::string& text)
{
    if (text.size() <= maxNameBytes)
        return text;
    return text.substr(0, keptBytes) + "..." + std::to_string(fastHash(text));
}

}

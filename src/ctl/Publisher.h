#pragma once
// Publishes a valid set of objects by one compare-and-swap, and reports whether it took effect.

#include "config/Config.h"
#include "ctl/BlockingStore.h"

#include <variant>

namespace dragonfly::ctl {

/// The configuration in the platform's service.
struct StoredConfig {
    config::Publication publication; ///< the publication in force; revision 0 if nothing has been published
    pb::ConfigPart objects;
    int64_t modRevision = 0; ///< of the manifest's key; expected value of the next swap
};

/// The objects are in force as @p revision.
struct Published {
    uint64_t revision;
};
/// Another publication was made first and is in force; this one is not.
struct PublishConflict {
    StoredConfig current;
};
/// The platform's service stopped answering: the publication took effect, took effect and was replaced, or neither.
struct PublishUnknown { };
/// The publication in force did not change.
struct PublishFailed {
    std::string reason;
};

using PublishOutcome = std::variant<Published, PublishConflict, PublishUnknown, PublishFailed>;

Result<StoredConfig> readStoredConfig(BlockingStore& store);

/// Publishes @p objects if the revision in force is @p base. Blocks; retries until the outcome is known or the attempts
/// are used up.
PublishOutcome publish(BlockingStore& store, const pb::ConfigPart& objects, uint64_t base, const std::string& author);

}

#pragma once
// Publishes a checked set of objects by one compare-and-swap, and says truthfully what became of it.

#include "config/Config.h"
#include "ctl/BlockingStore.h"

#include <variant>

namespace dragonfly::ctl {

/// What the platform holds: the publication in force and the revision of its key.
struct Stored {
    config::Publication publication; ///< revision 0 when nothing has been published
    pb::ConfigPart objects;
    int64_t modRevision = 0;
};

/// The set is in force from @p revision on.
struct Published {
    uint64_t revision;
};
/// Somebody else published first; nothing of ours is in force.
struct PublishConflict {
    Stored current;
};
/// It took effect, or was replaced before that could be seen, or neither: the platform does not answer.
struct PublishUnknown { };
/// Nothing was changed.
struct PublishFailed {
    std::string why;
};

using PublishOutcome = std::variant<Published, PublishConflict, PublishUnknown, PublishFailed>;

Result<Stored> readStored(BlockingStore& store);

/// Publishes @p objects if the revision in force is still @p base.
PublishOutcome publish(BlockingStore& store, const pb::ConfigPart& objects, uint64_t base, const std::string& author);

}

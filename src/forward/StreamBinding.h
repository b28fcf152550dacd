#pragma once
// The software version that a resumable stream is bound to: that of the target from which its first event came.
//
// Before that, a request that was sent to one version is sent to another only once the record says so: an instance that
// resumes the stream would otherwise take the first one for the version that began it.

#include "directory/Target.h"
#include "forward/Dialect.h"
#include "streams/StreamOrigins.h"

namespace dragonfly::forward {

struct StreamBinding {
    streams::StreamId stream = 0; ///< identifies the stream if it begins with this request
    std::set<std::string> versions; ///< those at which attempts may be made; any open one while it is empty
    bool isBound = false; ///< an event came from the only one of versions
    std::string source; ///< how that version is known, for the log line of the request
    /// Another version at which attempts may be made once its record is written.
    struct Extension {
        std::string version;
        uint64_t record = 0; ///< for StreamOrigins::isRecorded()
    };
    std::optional<Extension> extension;

    /// The versions to choose from; null for any open one.
    const std::set<std::string>* allowed() const
    {
        return this->versions.empty() ? nullptr : &this->versions;
    }
};

/// Whether the caller of a request on @p route has received a part of the stream, so that it must go on where it began.
bool isTakeUp(const directory::Route& route, const RequestMetadata& metadata);

/// Binds a stream to @p version, which is known from @p source.
void bindTo(StreamBinding& binding, const std::string& version, std::string_view source);

/// Whether an attempt may be made at @p target.
/// @param versions those at which attempts may be made; null for any open one
bool mayStreamAt(
    const streams::StreamOrigins& origins, const std::set<std::string>* versions, const directory::Target& target);

/// To be called for each attempt at a target of @p service that runs @p version.
void recordAttempt(
    StreamBinding& binding, streams::StreamOrigins& origins, const std::string& service, const std::string& version);
/// Records that the request will be sent to a target of @p service that runs @p version, one not allowed so far.
void extend(
    StreamBinding& binding, streams::StreamOrigins& origins, const std::string& service, const std::string& version);
/// Allows the version of the extension once its record is written.
void applyExtension(StreamBinding& binding, const streams::StreamOrigins& origins);
/// To be called when an event from a target of @p service that runs @p version is relayed to the caller.
void recordEvent(
    StreamBinding& binding, streams::StreamOrigins& origins, const std::string& service, const std::string& version);

}

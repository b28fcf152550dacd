#pragma once
// The software version that a resumable stream is bound to: that of the target from which its first event came.

#include "directory/Target.h"
#include "forward/Dialect.h"
#include "streams/StreamOrigins.h"

namespace dragonfly::forward {

struct StreamBinding {
    /// The only version at which the stream may go on; unset while it may begin at any.
    std::optional<std::string> version;
    std::string source; ///< how the version is known, for the log line of the request
    std::set<std::string> sentTo; ///< versions of the targets of all attempts that were made while it was unset
    streams::StreamId stream = 0; ///< identifies the stream if it begins with this request
};

/// Whether the caller of a request on @p route has received a part of the stream, so that it must go on where it began.
bool isTakeUp(const directory::Route& route, const RequestMetadata& metadata);

/// Whether an attempt may be made at @p target.
/// @param version the version that the stream is bound to; null if it may begin
bool mayStreamAt(const streams::StreamOrigins& origins, const std::string* version, const directory::Target& target);

/// To be called for each attempt at a target of @p service that runs @p version.
void recordAttempt(
    StreamBinding& binding, streams::StreamOrigins& origins, const std::string& service, const std::string& version);
/// To be called when an event from a target of @p service that runs @p version is relayed to the caller.
void recordEvent(
    StreamBinding& binding, streams::StreamOrigins& origins, const std::string& service, const std::string& version);

}

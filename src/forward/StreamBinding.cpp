#include "forward/StreamBinding.h"

namespace dragonfly::forward {

bool isTakeUp(const directory::Route& route, const RequestMetadata& metadata)
{
    return route.isResumableStream() && (!metadata.lastEventId.empty() || !metadata.resumedRequestId.empty());
}

bool mayStreamAt(const streams::StreamOrigins& origins, const std::string* version, const directory::Target& target)
{
    if (!version)
        return origins.mayBeginAt(target);
    return target.registration.softwareVersion == *version && !origins.isVersionDoubted(target);
}

void recordAttempt(
    StreamBinding& binding, streams::StreamOrigins& origins, const std::string& service, const std::string& version)
{
    if (!binding.version && binding.sentTo.insert(version).second)
        origins.add(service, { binding.stream, version, false });
}

void recordEvent(
    StreamBinding& binding, streams::StreamOrigins& origins, const std::string& service, const std::string& version)
{
    if (binding.version)
        return;
    binding.version = version;
    binding.source = "first event";
    if (binding.sentTo.size() > 1)
        origins.add(service, { binding.stream, version, true });
}

}

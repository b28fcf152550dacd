#include "forward/StreamBinding.h"

namespace dragonfly::forward {

bool isTakeUp(const directory::Route& route, const RequestMetadata& metadata)
{
    return route.isResumableStream() && (!metadata.lastEventId.empty() || !metadata.resumedRequestId.empty());
}

void bindTo(StreamBinding& binding, const std::string& version, std::string_view source)
{
    binding.versions = { version };
    binding.isBound = true;
    binding.source = source;
    binding.extension.reset();
}

bool mayStreamAt(
    const streams::StreamOrigins& origins, const std::set<std::string>* versions, const directory::Target& target)
{
    if (!versions)
        return origins.mayBeginAt(target);
    return versions->contains(target.registration.softwareVersion) && !origins.isVersionDoubted(target);
}

void recordAttempt(
    StreamBinding& binding, streams::StreamOrigins& origins, const std::string& service, const std::string& version)
{
    if (!binding.versions.empty())
        return;
    binding.versions.insert(version);
    origins.add(service, { binding.stream, version, false });
}

void extend(
    StreamBinding& binding, streams::StreamOrigins& origins, const std::string& service, const std::string& version)
{
    binding.extension = { version, origins.add(service, { binding.stream, version, false }) };
}

void applyExtension(StreamBinding& binding, const streams::StreamOrigins& origins)
{
    if (!binding.extension || !origins.isRecorded(binding.extension->record))
        return;
    binding.versions.insert(binding.extension->version);
    binding.extension.reset();
}

void recordEvent(
    StreamBinding& binding, streams::StreamOrigins& origins, const std::string& service, const std::string& version)
{
    if (binding.isBound)
        return;
    bindTo(binding, version, "first event");
    origins.add(service, { binding.stream, version, true });
}

}

#include "quarantine/TargetEndRecord.h"

#include "quarantine.pb.h"

namespace dragonfly::quarantine {

namespace {

    /// Well above what an instance writes; bounds the memory that a record of another version could take.
    constexpr size_t maxRecordBytes = 64u << 10;
    /// Twice what an instance writes. More would displace the reports of others.
    constexpr int maxRequests = 64;

}

std::string toRecord(const TargetEndReport& report)
{
    pb::TargetEnd record;
    record.set_target(report.incarnation.target);
    record.set_started_unix_ms(report.incarnation.startedUnixMs);
    for (const auto& request : report.beginning) {
        auto& added = *record.add_beginning();
        added.set_request(request.request);
        added.mutable_parts()->Add(request.parts.begin(), request.parts.end());
    }
    record.mutable_answered_parts()->Add(report.answeredParts.begin(), report.answeredParts.end());
    record.mutable_formerly_sound()->Add(report.formerlySound.begin(), report.formerlySound.end());
    return record.SerializeAsString();
}

std::optional<TargetEndReport> fromRecord(const std::string& bytes)
{
    pb::TargetEnd record;
    if (bytes.size() > maxRecordBytes || !record.ParseFromString(bytes) || record.target().empty()
        || record.beginning().empty() || record.beginning_size() > maxRequests)
        return std::nullopt;
    TargetEndReport report;
    report.incarnation = { record.target(), record.started_unix_ms() };
    for (const auto& request : record.beginning())
        report.beginning.push_back({ request.request(), { request.parts().begin(), request.parts().end() } });
    report.answeredParts.assign(record.answered_parts().begin(), record.answered_parts().end());
    report.formerlySound.assign(record.formerly_sound().begin(), record.formerly_sound().end());
    return report;
}

}

#pragma once
// The form in which reports on ended targets are stored.

#include "quarantine/PromptEvidence.h"

namespace dragonfly::quarantine {

std::string toRecord(const TargetEndReport& report);
/// Nothing if @p bytes are no report, or one that is larger than any instance writes.
std::optional<TargetEndReport> fromRecord(const std::string& bytes);

}

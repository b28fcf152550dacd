#pragma once
// Samples of what instances store and send to each other, to compare what two builds make of it.
//
// The content is the same in each build: a field has a value that follows from its name.

#include "quarantine/TargetEndRecord.h"
#include "relay/PeerRecord.h"
#include "streams/ServiceVersions.h"
#include "streams/StreamStarts.h"

#include <google/protobuf/message.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace testing {

/// Encoded messages by "TYPE" or, for each alternative of a oneof, "TYPE.FIELD".
using Samples = std::map<std::string, std::string>;

/// A message of @p type with all fields set; of a oneof, the field @p alternative.
std::unique_ptr<google::protobuf::Message> filledMessage(const std::string& type, const std::string& alternative);

/// Every form that is stored or sent, with all fields set.
Samples messageSamples();

dragonfly::streams::ServiceVersions sampleVersions();
std::vector<dragonfly::streams::StreamStart> sampleStarts();
dragonfly::quarantine::TargetEndReport sampleTargetEnd();
dragonfly::relay::Peer samplePeer();

/// Records as this build writes them, by type of message.
Samples recordSamples();

/// A line for each hash that two instances must compute alike: what is hashed and the result.
std::string hashSamples();

}

#pragma once
// Keys and encoding of the platform's records.

#include "directory/Deployment.h"
#include "directory/Registration.h"

#include <string_view>

namespace dragonfly::directory {

/// Implemented for each platform. Implementations are stateless.
class RecordDecoder {
public:
    virtual ~RecordDecoder() = default;

    virtual std::string deploymentKey() const = 0;
    virtual std::string registrationPrefix() const = 0;
    virtual std::string weightsPrefix() const = 0;

    virtual Result<Deployment> decodeDeployment(std::string_view bytes) const = 0;
    /// @param key the whole key of the record, which contains the target's id
    virtual Result<Registration> decodeRegistration(std::string_view key, std::string_view bytes) const = 0;
    virtual Result<WantedWeights> decodeWeights(std::string_view key, std::string_view bytes) const = 0;
};

}

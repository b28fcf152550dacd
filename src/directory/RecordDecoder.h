#pragma once
// How the platform's records are laid out: where they lie and what their bytes mean.

#include "directory/Deployment.h"
#include "directory/Registration.h"

#include <string_view>

namespace dragonfly::directory {

/// Implemented for each platform. Decoding has no state.
class RecordDecoder {
public:
    virtual ~RecordDecoder() = default;

    virtual std::string deploymentKey() const = 0;
    virtual std::string registrationPrefix() const = 0;
    virtual std::string weightsPrefix() const = 0;

    virtual Result<Deployment> decodeDeployment(std::string_view bytes) const = 0;
    /// @param key the record's whole key, which holds the target's id
    virtual Result<Registration> decodeRegistration(std::string_view key, std::string_view bytes) const = 0;
    virtual Result<NamedWeights> decodeWeights(std::string_view key, std::string_view bytes) const = 0;
};

}

#pragma once
// Interface to engines: queries the weights that they run and orders them to load other versions.

#include "base/Base.h"
#include "http/Message.h"

#include <map>
#include <string>

namespace dragonfly::weights {

/// Orders an engine to load a version of a model's weights. Requests in progress finish first.
struct LoadOrder {
    std::string targetId; ///< an engine with another id at the same address refuses the order
    std::string model;
    uint64_t version = 0;
    std::string holder; ///< id of the instance that sends the order
    int64_t fencingToken = 0; ///< grows with each new leader; engines refuse smaller ones
    uint64_t acceptedBefore = 0; ///< orders accepted up to its report; the engine refuses if it accepted more since
};

enum class OrderOutcome {
    Accepted,
    AlreadyDone, ///< the engine runs the version already
    Busy, ///< another order is in progress, or one was accepted since the report
    Fenced, ///< the engine has accepted an order with a newer fencing token
    Refused, ///< the engine will not execute the order
    Unknown, ///< the engine may execute the order, now or later
};

/// State that an engine reports. May be some hundred milliseconds old.
struct EngineReport {
    bool isBusy = false; ///< an order is in progress
    uint64_t ordersAccepted = 0;
    std::map<std::string, uint64_t> weights; ///< version by model
};

/// Encodes requests to engines and parses their answers. Implemented for each kind of engine; stateless.
class EngineApi {
public:
    virtual ~EngineApi() = default;

    virtual http::Request reportRequest(const std::string& targetId) const = 0;
    virtual Result<EngineReport> readReport(const http::ResponseHead& head, std::string_view body) const = 0;
    virtual http::Request orderRequest(const LoadOrder& order) const = 0;
    virtual OrderOutcome readOrderAnswer(const http::ResponseHead& head) const = 0;
};

}

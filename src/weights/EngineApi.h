#pragma once
// What engines can be asked and ordered about the weights of their models.

#include "base/Base.h"
#include "http/Message.h"

#include <map>
#include <string>

namespace dragonfly::weights {

/// Orders an engine to load a version of a model's weights. Requests under way finish first.
struct LoadOrder {
    std::string targetId; ///< another engine at the same address refuses
    std::string model;
    uint64_t version = 0;
    std::string holder; ///< the instance that gives orders
    int64_t fencingToken = 0; ///< grows from holder to holder
    uint64_t acceptedBefore = 0; ///< the engine refuses when it has accepted another order since
};

enum class OrderOutcome {
    Accepted,
    AlreadyDone,
    Busy, ///< another order is under way, or one was accepted since the report
    Fenced, ///< a newer holder has given orders
    Refused, ///< the engine will not carry it out
    Unknown, ///< it may be carried out, now or later
};

/// An engine's own report, some hundred milliseconds old.
struct EngineReport {
    bool isBusy = false; ///< with an order
    uint64_t ordersAccepted = 0;
    std::map<std::string, uint64_t> weights; ///< model to version
};

/// Implemented for each kind of engine. Has no state.
class EngineApi {
public:
    virtual ~EngineApi() = default;

    virtual http::Request reportRequest(const std::string& targetId) const = 0;
    virtual Result<EngineReport> readReport(const http::ResponseHead& head, std::string_view body) const = 0;
    virtual http::Request orderRequest(const LoadOrder& order) const = 0;
    virtual OrderOutcome readOrderAnswer(const http::ResponseHead& head) const = 0;
};

}

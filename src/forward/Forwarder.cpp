#include "forward/Forwarder.h"

namespace dragonfly::forward {

namespace {

    /// When a caller may come back after this instance could not vouch for a key. A repeat reaches another
    /// instance, which mostly can; so it need not wait.
    constexpr std::chrono::milliseconds retryElsewhere { 50 };
    /// When a caller may come back after this instance knew no configuration yet. All may have been started at
    /// once; reading everything takes a few round trips to another region.
    constexpr std::chrono::milliseconds retryAfterStart { 400 };

}

Status Forwarder::authenticate(ForwardRequest& request, BootClock::time_point now) const
{
    if (request.route->isAnonymous || !request.routes->needsKeys())
        return Success {};
    const auto& freshness = this->context.directory.freshness;
    request.configAge = freshness.age(now);
    // An old configuration can neither vouch for a key nor deny it.
    if (!freshness.isProved(now))
        return Error { ErrorKind::NotConfigured, "it is not known whether the key is still valid", Execution::NotRun,
            retryElsewhere };
    const auto& key = request.description.apiKey;
    request.organisation = key ? request.routes->findOrganisation(*key) : nullptr;
    if (!request.organisation)
        return Error { ErrorKind::Unauthorised, "Authorization: a known API key is required", Execution::NotRun, {} };
    return Success {};
}

void Forwarder::handle(const http::ExchangePointer& exchange)
{
    auto described = this->context.dialect.describe(exchange->request());
    if (const auto* error = errorOf(described)) {
        this->refuse(exchange, {}, *error);
        return;
    }
    ForwardRequest request;
    request.exchange = exchange;
    request.description = std::move(std::get<Description>(described));
    request.arrived = Clock::now();
    request.routes = this->context.directory.routes();
    if (!request.routes) {
        this->refuse(exchange, request.description,
            { ErrorKind::NotConfigured, "no configuration has been received yet", Execution::NotRun, retryAfterStart });
        return;
    }
    request.route = request.routes->findRoute(request.description.host, request.description.path);
    if (!request.route) {
        this->refuse(exchange, request.description,
            { ErrorKind::UnknownPath, "no route has this host and path", Execution::NotRun, {} });
        return;
    }
    const auto authenticated = this->authenticate(request, BootClock::now());
    if (const auto* error = errorOf(authenticated)) {
        this->refuse(exchange, request.description, *error);
        return;
    }
    const auto patience = request.description.patience.value_or(request.route->timeout);
    request.deadline = request.arrived + std::min(patience, request.route->timeout);
    std::make_shared<ForwardCall>(this->context, std::move(request))->start();
}

void Forwarder::refuse(const http::ExchangePointer& exchange, const Description& description, const Error& error)
{
    this->context.metrics.failed(error.kind).Increment();
    const auto& routes = this->context.directory.routes();
    const auto age = this->context.directory.freshness.age(BootClock::now());
    observe::logDecision(observe::Decision::Refused,
        { { "request", description.requestId }, { "host", description.host }, { "path", description.path },
            { "config", routes ? std::to_string(routes->version()) : "none" },
            { "config_age_ms", age ? std::to_string(age->count()) : "unproved" },
            { "status", std::to_string(answerFor(error.kind).status) }, { "outcome", error.detail },
            { "execution", "not-run" } });
    http::respondWithError(*exchange, error, description.requestId);
}

}

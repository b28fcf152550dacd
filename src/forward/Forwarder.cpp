#include "forward/Forwarder.h"

#include <algorithm>

namespace dragonfly::forward {

namespace {

    /// Retry-After of a request whose key this instance could not verify. Short, because the retry reaches another
    /// instance, most of which can verify the key.
    constexpr std::chrono::milliseconds retryAfterUnverifiedKey { 50 };
    /// Retry-After of a request that arrives before the first configuration. All instances may be starting at the
    /// same time; reading the configuration takes a few round trips to another region.
    constexpr std::chrono::milliseconds retryAfterStartup { 400 };
    /// Retry-After of a request for whose prompt there is no room; some open requests end within it.
    constexpr std::chrono::milliseconds retryAfterOverload { 1000 };
    /// What a part of a prompt takes: its id, and hashes and lengths of its prefix for each of two attempts.
    constexpr size_t promptPartBytes = sizeof(PromptPart) + 4 * sizeof(uint64_t);

}

Forwarder::Forwarder(ForwardContext& context)
    : context(context)
{
    context.quarantine.onQuarantined = [this] { this->onPromptsQuarantined(); };
    context.quarantine.hasOpenAttempt = [this](const quarantine::Incarnation& incarnation, Clock::time_point since) {
        return std::ranges::any_of(
            this->context.calls, [&](const auto* call) { return call->hasOpenAttempt(incarnation, since); });
    };
    this->observePaths();
    context.quarantine.isRegistered = [this](const quarantine::Incarnation& incarnation) {
        const auto& directory = this->context.directory;
        const auto found = directory.targets().find(incarnation.target);
        return found != directory.targets().end() && !found->second->isReplaced
            && found->second->registration.startedUnixMs == incarnation.startedUnixMs
            && directory.freshness.isProved(BootClock::now());
    };
}

void Forwarder::observePaths()
{
    auto& paths = this->context.paths;
    paths.silentTargets = [this](Clock::time_point now) {
        std::set<std::string> silent;
        for (const auto* call : this->context.calls)
            call->addSilentTargets(silent, now);
        return silent;
    };
    paths.targets = [this] {
        std::vector<Endpoint> endpoints;
        const auto& directory = this->context.directory;
        for (const auto& [id, target] : directory.targets()) {
            if (directory.isRouted(target->registration))
                endpoints.push_back(target->registration.endpoint);
        }
        return endpoints;
    };
}

bool Forwarder::isTargetAt(const Endpoint& endpoint) const
{
    const auto& directory = this->context.directory;
    return std::ranges::any_of(directory.targets(), [&](const auto& each) {
        const auto& registration = each.second->registration;
        return registration.endpoint == endpoint && directory.isRouted(registration);
    });
}

Status Forwarder::authenticate(ForwardRequest& request, BootClock::time_point now) const
{
    if (request.route->isAnonymous || !request.routes->needsKeys())
        return Success {};
    const auto& freshness = this->context.directory.freshness;
    request.configAge = freshness.age(now);
    // A stale configuration can neither accept a key, which may have been revoked, nor reject one, which may be new.
    if (!freshness.isProved(now))
        return Error { ErrorKind::NotConfigured,
            "the API key cannot be verified: the configuration has no valid freshness proof", Execution::NotRun,
            retryAfterUnverifiedKey };
    const auto& key = request.metadata.apiKey;
    request.organisation = key ? request.routes->findOrganisation(*key) : nullptr;
    if (!request.organisation)
        return Error { ErrorKind::Unauthorised, "Authorization: a known API key is required", Execution::NotRun, {} };
    return Success {};
}

void Forwarder::handle(const http::ExchangePointer& exchange)
{
    auto parsed = this->context.dialect.parseRequest(exchange->request());
    if (const auto* error = errorOf(parsed)) {
        this->refuse(exchange, {}, *error);
        return;
    }
    ForwardRequest request;
    request.exchange = exchange;
    request.metadata = std::move(std::get<RequestMetadata>(parsed));
    if (!exchange->tryHold(request.metadata.prompt.capacity() * promptPartBytes)) {
        this->refuse(exchange, request.metadata,
            { ErrorKind::Overloaded, "too many large prompts are open", Execution::NotRun, retryAfterOverload });
        return;
    }
    if (this->context.isStopping) {
        this->refuse(exchange, request.metadata,
            { ErrorKind::NoTarget, "the instance stops", Execution::NotRun, retryAfterStop });
        return;
    }
    request.arrived = Clock::now();
    request.routes = this->context.directory.routes();
    if (!request.routes) {
        this->refuse(exchange, request.metadata,
            { ErrorKind::NotConfigured, "no configuration has been received yet", Execution::NotRun,
                retryAfterStartup });
        return;
    }
    request.route = request.routes->findRoute(request.metadata.host, request.metadata.path);
    if (!request.route) {
        this->refuse(exchange, request.metadata,
            { ErrorKind::UnknownPath, "no route matches this host and path", Execution::NotRun, {} });
        return;
    }
    const auto authenticated = this->authenticate(request, BootClock::now());
    if (const auto* error = errorOf(authenticated)) {
        this->refuse(exchange, request.metadata, *error);
        return;
    }
    const auto callerTimeout = request.metadata.callerTimeout.value_or(request.route->timeout);
    request.deadline = request.arrived + std::min(callerTimeout, request.route->timeout);
    std::make_shared<ForwardCall>(this->context, std::move(request))->start();
}

void Forwarder::updateBeginDeadlines()
{
    for (auto* call : this->context.awaitingEngines)
        call->updateBeginDeadline();
}

void Forwarder::endForStop()
{
    this->context.isStopping = true;
    std::vector<std::shared_ptr<ForwardCall>> open; // a call that has ended leaves calls
    for (auto* call : this->context.calls)
        open.push_back(call->shared_from_this());
    for (const auto& call : open)
        call->endForStop();
}

std::vector<OpenRequest> Forwarder::openRequests() const
{
    std::vector<OpenRequest> open;
    for (const auto* call : this->context.calls) {
        if (auto request = call->openRequest())
            open.push_back(std::move(*request));
    }
    std::ranges::sort(open, {}, &OpenRequest::waitingSince);
    return open;
}

void Forwarder::onPromptsQuarantined()
{
    std::vector<std::shared_ptr<ForwardCall>> open; // a withdrawn call leaves calls
    for (auto* call : this->context.calls)
        open.push_back(call->shared_from_this());
    for (const auto& call : open)
        call->onPromptsQuarantined();
}

void Forwarder::refuse(const http::ExchangePointer& exchange, const RequestMetadata& metadata, const Error& error)
{
    this->context.metrics.failed(error.kind).Increment();
    const auto& routes = this->context.directory.routes();
    const auto age = this->context.directory.freshness.age(BootClock::now());
    observe::logRequest(observe::RequestOutcome::Refused,
        { { "request", metadata.requestId }, { "host", metadata.host }, { "path", metadata.path },
            { "config", routes ? std::to_string(routes->version()) : "none" },
            { "config_age_ms", age ? std::to_string(age->count()) : "unproved" },
            { "status", std::to_string(answerFor(error.kind).status) }, { "outcome", error.detail },
            { "execution", "not-run" } });
    http::respondWithError(*exchange, error, metadata.requestId);
}

}

#include "entry/Worker.h"

#include "entry/InferenceCall.h"
#include "entry/ServiceCall.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <charconv>

namespace dragonfly::entry {

namespace {

    constexpr std::string_view bearerPrefix = "Bearer ";
    constexpr size_t maxRequestIdBytes = 128;

    std::string_view pathOf(std::string_view target)
    {
        return target.substr(0, target.find('?'));
    }

    /// The caller's request id when it is short and made of safe characters only, else a random one.
    std::string requestIdOf(const http::Headers& headers)
    {
        const auto received = headers.valueOr("X-Request-Id", "");
        const auto unsafePosition
            = received.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:");
        if (received.empty() || received.size() > maxRequestIdBytes || unsafePosition != std::string_view::npos)
            return randomId();
        return std::string(received);
    }

    /// The timeout that the caller requested; empty when the header is missing or invalid.
    std::optional<std::chrono::milliseconds> callerTimeout(const http::Headers& headers)
    {
        const auto text = headers.find("Dragonfly-Deadline-Ms");
        uint32_t number = 0;
        if (!text || std::from_chars(text->data(), text->data() + text->size(), number).ec != std::errc() || !number)
            return std::nullopt;
        return std::chrono::milliseconds(number);
    }

    /// Why the request cannot end before the instance stops; nullopt if it can, as far as is known.
    std::optional<std::string> findStopConflict(const WorkerScope& scope, const Request& request)
    {
        if (scope.isStopping)
            return "the instance stops";
        if (!scope.stopAt)
            return std::nullopt;
        // Connecting to a target alone may take so long.
        const auto expected = scope.shared.limits.connectTimeout;
        const auto end = toDeadline(*scope.stopAt);
        if (request.deadline <= end || request.arrived + expected <= end)
            return std::nullopt;
        return "the instance stops in " + std::to_string(remaining(end, Clock::now()).count())
            + " ms, and an answer may take " + std::to_string(expected.count()) + " ms";
    }

}

Worker::Worker(Context& shared, const http::ServerLimits& limits, const Endpoint& listen)
    : shared(shared)
    , limits(limits)
    , listenEndpoint(listen)
{
}

Result<Endpoint> Worker::waitUntilListening()
{
    return this->listenResult.get_future().get();
}

void Worker::run()
{
    const RcuReaderRegistration reader;
    QObject loop;
    http::ClientPool targets;
    WorkerScope scope { this->shared, targets, loop };
    http::Server server(
        this->limits, [this, &scope](const http::ExchangePointer& exchange) { this->handle(scope, exchange); });
    server.onRefusal = [this](const http::Refusal& refusal) { this->shared.metrics.failed(refusal.kind).Increment(); };
    server.observer = observe::requestObserver(this->shared.metrics,
        [](const http::Request& request) { return std::string(request.headers.valueOr("X-Request-Id", "")); });
    this->loop = &loop;
    this->server = &server;
    this->scope = &scope;
    auto listened = server.listenShared(this->listenEndpoint);
    const bool failed = errorOf(listened);
    this->listenResult.set_value(std::move(listened));
    if (!failed)
        this->exec();
}

int Worker::connectionCount() const
{
    return this->server ? this->server->connectionCount() : 0;
}

void Worker::announceClosing(BootClock::time_point stopAt)
{
    QMetaObject::invokeMethod(this->loop, [this, stopAt] {
        this->server->announceClosing();
        this->scope->stopAt = stopAt;
    });
}

void Worker::stopAccepting()
{
    QMetaObject::invokeMethod(this->loop, [this] {
        this->server->close();
        this->server->drainConnections();
    });
}

void Worker::endRequests()
{
    QMetaObject::invokeMethod(this->loop, [this] {
        this->scope->isStopping = true;
        const auto open = std::exchange(this->scope->openCalls, {});
        for (const auto& [call, end] : open)
            end();
    });
}

Result<Success> Worker::authenticate(Request& request) const
{
    const auto header = request.exchange->request().headers.valueOr("Authorization", "");
    const Error refused { ErrorKind::Unauthorised, "Authorization: a known API key is required", Execution::NotRun,
        {} };
    if (!header.starts_with(bearerPrefix))
        return refused;
    const auto hash = toHex(sha256(header.substr(bearerPrefix.size())));
    const auto found = request.view->organisationByKeyHash.find(hash);
    if (found == request.view->organisationByKeyHash.end() || !equalInConstantTime(found->first, hash))
        return refused;
    request.organisation = &request.view->organisations[found->second];
    return Success {};
}

void Worker::handle(WorkerScope& scope, const http::ExchangePointer& exchange)
{
    const auto& headers = exchange->request().headers;
    Request request;
    request.exchange = exchange;
    request.id = requestIdOf(headers);
    request.arrived = Clock::now();
    request.explanation.started = WallClock::now();
    request.trace = observe::beginTrace(headers.valueOr("traceparent", ""), this->shared.traceSampleRate);
    request.activeGuard = ActiveRequestGuard(this->shared.activeRequests);
    request.view = this->shared.views.current();
    this->route(scope, std::move(request));
}

void Worker::route(WorkerScope& scope, Request request)
{
    if (!request.view) {
        answerError(this->shared, request,
            { ErrorKind::NotConfigured, "no configuration has been received yet", Execution::NotRun,
                std::chrono::seconds(1) });
        return;
    }
    if (const auto authenticated = this->authenticate(request); const auto* error = errorOf(authenticated)) {
        answerError(this->shared, request, *error);
        return;
    }
    const auto& received = request.exchange->request();
    const auto path = pathOf(received.target);
    if (received.method == "GET" && path == "/v1/models") {
        this->handleModels(request);
        return;
    }
    if (received.method == "POST" && (path == "/v1/completions" || path == "/v1/chat/completions")) {
        this->routeInference(scope, std::move(request));
        return;
    }
    request.route = routing::findRouteByPath(*request.view, path);
    if (!request.route) {
        answerError(this->shared, request, { ErrorKind::UnknownPath, "no route has this path", Execution::NotRun, {} });
        return;
    }
    if (this->prepare(scope, request))
        std::make_shared<ServiceCall>(scope, std::move(request))->start();
}

void Worker::routeInference(WorkerScope& scope, Request request)
{
    const auto& received = request.exchange->request();
    const auto shape = pathOf(received.target) == "/v1/completions" ? InferenceShape::Completion : InferenceShape::Chat;
    auto parsed = parseInferenceBody(shape, received.body);
    if (const auto* error = errorOf(parsed)) {
        answerError(this->shared, request, *error);
        return;
    }
    auto& body = std::get<InferenceBody>(parsed);
    const auto found = request.view->routeByModel.find(body.model);
    if (found == request.view->routeByModel.end()) {
        answerError(
            this->shared, request, { ErrorKind::UnknownModel, "no route serves this model", Execution::NotRun, {} });
        return;
    }
    request.route = &request.view->routes[found->second];
    if (this->prepare(scope, request))
        std::make_shared<InferenceCall>(scope, std::move(request), std::move(body))->start();
}

bool Worker::prepare(const WorkerScope& scope, Request& request)
{
    const auto requestedTimeout = callerTimeout(request.exchange->request().headers);
    request.deadline = request.arrived + requestedTimeout.value_or(request.route->deadline);
    if (const auto conflict = findStopConflict(scope, request)) {
        const Error error { ErrorKind::NoTarget, *conflict, Execution::NotRun, retryAfterStop };
        logStopped(observe::RequestOutcome::Refused, request, error);
        answerError(this->shared, request, error);
        return false;
    }
    if (scope.stopAt)
        request.deadline = std::min(request.deadline, toDeadline(*scope.stopAt));
    auto admitted = admit(*request.organisation, request.view->share, request.arrived);
    if (const auto* error = errorOf(admitted)) {
        answerError(this->shared, request, *error);
        return false;
    }
    request.admission = std::move(std::get<Admission>(admitted));
    return true;
}

void Worker::handleModels(const Request& request)
{
    QJsonArray models;
    for (const auto& [model, route] : request.view->routeByModel)
        models.append(QJsonObject { { "id", QString::fromStdString(model) }, { "object", "model" } });
    const QJsonObject body { { "object", "list" }, { "data", models } };
    request.exchange->respond(200, { { "Content-Type", "application/json" }, { "X-Request-Id", request.id } },
        QJsonDocument(body).toJson(QJsonDocument::Compact).toStdString());
}

}

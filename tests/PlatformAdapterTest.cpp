// Decoding and encoding of the platform's records, headers and engine calls, and a check that the platform's names
// occur only in the adapter.

#include "platform/Platform.h"

#include <criterion/criterion.h>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace dragonfly;
using namespace dragonfly::platform;
using namespace std::chrono_literals;

namespace {

const std::string config = R"({"version":7,"routes":[
 {"name":"r1","host":"a.example","prefix":"/p/","kind":"streaming","timeout_ms":8000,"target_latency_ms":800,
  "priority":1,"traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"max_attempts":1,
  "anonymous":false,"sticky":true,"resumable":false,"gap_aim_ms":300},
 {"name":"r2","host":"b.example","prefix":"/q/","kind":"non_idempotent","timeout_ms":1500,"target_latency_ms":200,
  "priority":2,"service":"s2","max_attempts":2}],
 "services":[{"name":"s1","health_path":"/health","max_connections":630,"engine":{"slots":128,
  "kv_capacity_tokens":238579,"kv_token_bytes":18432,"models":[{"name":"m"}]}},
  {"name":"s2","max_connections":110},
  {"name":"s3","kv_store_addr":"172.20.0.2:8781","zone":"ege-a","kv_capacity_tokens":4423886}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"t1","api_keys":["k1","k2"],"priority":1,"isolated":true},{"name":"t2","api_keys":[]}],
 "some_new_field":{}})";

http::Request clientRequest()
{
    return { "POST", "/p/x?y=1",
        { { "Host", "a.example" }, { "X-Dragonflyarch-Attempt-Id", "9c41" }, { "X-Dragonflyarch-Model", "m" },
            { "X-Dragonflyarch-Token-Usage", "1460,80" },
            { "X-Dragonflyarch-Prompt-Prefix", "5c1e:800,91bd:410,e440:250" },
            { "X-Dragonflyarch-Deadline-Ms", "8000" }, { "Authorization", "Bearer secret" }, { "X-Other", "kept" },
            { "Connection", "keep-alive, X-Hop" }, { "X-Hop", "this connection only" },
            { "connection", "X-Other-Hop ,x-third-hop" }, { "x-other-hop", "this connection only" },
            { "X-Third-Hop", "this connection only" }, { "X-Dragonflyarch-Tenant", "forged" },
            { "x-dragonflyarch-cache-salt", "forged" }, { "X-Dragonflyarch-Hold", "forged" }, { "Kv-From", "forged" },
            { "X-Dragonflyarch-Kv-Backup", "forged" }, { "X-Dragonflyarch-Pin-Ms", "forged" },
            { "X-Dragonflyarch-Request-Urgency", "0" } },
        "body" };
}

size_t countFieldsOfValue(const http::Headers& headers, const std::string& value)
{
    return static_cast<size_t>(
        std::count_if(headers.begin(), headers.end(), [&](const auto& field) { return field.value == value; }));
}

}

Test(recordCodec, decodesDeployment)
{
    const auto decoded = RecordCodec().decodeDeployment(config);
    const auto& deployment = std::get<directory::Deployment>(decoded);
    cr_assert_eq(deployment.version, 7);
    const auto& stream = deployment.routes[0];
    cr_assert_eq(stream.kind, directory::RequestKind::Streaming);
    cr_assert_eq(stream.shares.size(), 2);
    cr_assert_eq(stream.shares[1].weight, 10);
    cr_assert_eq(stream.timeout, 8000ms);
    cr_assert_eq(*stream.maxEventGap, 300ms);
    cr_assert(stream.describesPrompt);
    cr_assert_not(stream.isResumable);
    cr_assert_eq(deployment.routes[1].shares[0].service, "s2");
    cr_assert_eq(deployment.routes[1].kind, directory::RequestKind::NonIdempotent);
    cr_assert_eq(deployment.services[0].engines->cacheTokens, 238579);
    cr_assert_eq(deployment.services[2].cacheStore->endpoint.toString(), "172.20.0.2:8781");
    cr_assert(deployment.organisations[0].isIsolated);
    cr_assert_eq(deployment.organisations[0].apiKeys[1], "k2");
    cr_assert_not(deployment.organisations[1].priority.has_value());
    cr_assert_eq(deployment.limits.idleTimeout, 15000ms);
}

Test(recordCodec, rejectsInvalidRecords)
{
    const RecordCodec codec;
    for (const auto* bytes : { "", "[]", "{", "{\"version\":1}", "{\"version\":-1,\"routes\":[],\"services\":[]}",
             "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"prefix\":\"/"
             "\",\"kind\":\"new\"}],\"services\":[]}" })
        cr_assert(errorOf(codec.decodeDeployment(bytes)), "%s", bytes);
    const std::string good
        = R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":8,"state":"ready",)"
          R"("born":17,"models":[{"name":"m","version":3}],"seq":4})";
    const auto read = codec.decodeRegistration("servers/i-1", good);
    const auto& registration = std::get<directory::Registration>(read);
    cr_assert_eq(registration.id, "i-1");
    cr_assert_eq(registration.weights.at("m"), 3);
    cr_assert_eq(registration.startedUnixMs, 17);
    const std::pair<const char*, const char*> faults[]
        = { { "\"ready\"", "\"asleep\"" }, { "\"10.0.0.1:80\"", "\"nowhere\"" }, { "\"slots\":8", "\"slots\":\"8\"" },
              { "\"zone\":\"z\",", "" }, { "\"version\":3", "\"version\":\"3\"" } };
    for (const auto& [from, to] : faults) {
        auto bad = good;
        bad.replace(bad.find(from), std::string(from).size(), to);
        cr_assert(errorOf(codec.decodeRegistration("servers/i-1", bad)), "%s", bad.c_str());
    }
}

Test(headerCodec, parsesRequestAndRejectsInvalidHeaders)
{
    const auto parsed = HeaderCodec().parseRequest(clientRequest());
    const auto& metadata = std::get<forward::RequestMetadata>(parsed);
    cr_assert_eq(metadata.requestId, "9c41");
    cr_assert_eq(metadata.host, "a.example");
    cr_assert_eq(metadata.path, "/p/x");
    cr_assert_eq(*metadata.apiKey, "secret");
    cr_assert_eq(*metadata.callerTimeout, 8000ms);
    cr_assert_eq(metadata.promptTokens, 1460);
    cr_assert_eq(metadata.prompt.size(), 3);
    cr_assert_eq(metadata.prompt[1].id, "91bd");
    cr_assert_eq(metadata.prompt[1].tokens, 410);
    for (const auto& [name, value] : { std::pair("X-Dragonflyarch-Deadline-Ms", "soon"),
             std::pair("X-Dragonflyarch-Prompt-Prefix", "ab"), std::pair("X-Dragonflyarch-Token-Usage", "x,1") })
        cr_assert(errorOf(HeaderCodec().parseRequest({ "GET", "/", { { name, value } }, {} })), "%s", name);
}

Test(headerCodec, dispatchForwardsRequestAndReplacesReservedHeaders)
{
    forward::Dispatch dispatch;
    dispatch.targetId = "i-1";
    dispatch.organisation = "t1";
    dispatch.timeLeft = 1234ms;
    dispatch.cacheSalt = "salt";
    dispatch.weightsVersion = 3;
    dispatch.urgency = 4;
    const auto request = HeaderCodec().dispatch(clientRequest(), dispatch);
    cr_assert_eq(request.target, "/p/x?y=1");
    cr_assert_eq(request.body, "body");
    const auto& headers = request.headers;
    cr_assert_eq(headers.valueOr("Host", ""), "a.example");
    cr_assert_eq(headers.valueOr("X-Other", ""), "kept");
    cr_assert_eq(headers.valueOr("X-Dragonflyarch-Prompt-Prefix", ""), "5c1e:800,91bd:410,e440:250");
    cr_assert_eq(headers.valueOr("X-Dragonflyarch-Deadline-Ms", ""), "1234");
    cr_assert_eq(headers.valueOr("X-Dragonflyarch-Tenant", ""), "t1");
    cr_assert_eq(headers.valueOr("X-Dragonflyarch-Expect-Version", ""), "3");
    cr_assert_eq(headers.valueOr("X-Dragonflyarch-Request-Urgency", ""), "4");
    cr_assert_eq(countFieldsOfValue(headers, "forged"), 0);
    cr_assert_eq(countFieldsOfValue(headers, "Bearer secret"), 0);
    cr_assert_not(headers.find("X-Hop").has_value());
    cr_assert_not(headers.find("Connection").has_value());
}

Test(headerCodec, parsesAnswerMetadata)
{
    const HeaderCodec codec;
    const auto answer = codec.parseAnswer({ 200,
        { { "X-Dragonflyarch-Attempt-Id", "9c41" }, { "X-Dragonflyarch-Response-Stamp", "s" },
            { "X-Dragonflyarch-Instance-Load", "3,1,8" }, { "X-Dragonflyarch-Weight-Versions", "5" },
            { "Connection", "close" } } });
    cr_assert(answer.isStamped);
    cr_assert(answer.isClosing);
    cr_assert_not(answer.notRun);
    cr_assert_eq(answer.load->waiting, 1);
    cr_assert_eq(*answer.weightsVersion, 5);
    cr_assert(codec.parseAnswer({ 503, { { "X-Dragonflyarch-Not-Executed", "1" } } }).notRun);
    cr_assert(codec.parseAnswer({ 421, {} }).notRun);
    cr_assert_not(
        codec.parseAnswer({ 503, {} }).notRun, "status 503 alone does not prove that the request did not run");
    cr_assert(codec.parseAnswer({ 200, { { "Content-Encoding", "gzip" } } }).isEncoded);
}

Test(engineCodec, encodesOrdersAndDecodesReports)
{
    const EngineCodec codec;
    const auto order = codec.orderRequest({ "i-1", "m", 2, "entry-7", 41, 5 });
    cr_assert_eq(order.headers.valueOr("X-Dragonflyarch-Expect-Instance", ""), "i-1");
    for (const auto* part : { "\"version\":2", "\"fencing_token\":41", "\"expected\":5", "\"holder\":\"entry-7\"" })
        cr_assert(order.body.text().find(part) != std::string::npos, "%s in %s", part, order.body.text().c_str());
    using weights::OrderOutcome;
    const std::pair<int, OrderOutcome> outcomes[] = { { 202, OrderOutcome::Accepted },
        { 200, OrderOutcome::AlreadyDone }, { 409, OrderOutcome::Busy }, { 412, OrderOutcome::Fenced },
        { 400, OrderOutcome::Refused }, { 421, OrderOutcome::Refused }, { 500, OrderOutcome::Unknown } };
    for (const auto& [status, outcome] : outcomes)
        cr_assert_eq(codec.readOrderAnswer({ status, {} }), outcome, "%d", status);
    const auto report = codec.readReport({ 200, {} }, R"({"models":[{"name":"m","version":4}],"busy":true,"seq":2})");
    cr_assert_eq(std::get<weights::EngineReport>(report).ordersAccepted, 2);
    cr_assert(std::get<weights::EngineReport>(report).isBusy);
    cr_assert(errorOf(codec.readReport({ 503, {} }, "{}")));
}

Test(adapter, platformNamesDoNotOccurInSrc)
{
    const char* names[] = { "X-Dragonflyarch-", "Kv-From", "/api/", "op/config", "op/version", "\"servers/", "api_keys",
        "fencing_token\"", "opcode", "kv_store", "Server-Limit", "Server-Brittle", "Server-Leaving", "Store-Era",
        "max_attempts", "traffic_split", "switch_mode", "Expect-Instance" };
    for (const auto& entry : std::filesystem::recursive_directory_iterator(SOURCE_FOLDER "/src")) {
        if (!entry.is_regular_file())
            continue;
        std::stringstream text;
        text << std::ifstream(entry.path()).rdbuf();
        for (const auto* name : names)
            cr_assert(text.str().find(name) == std::string::npos, "'%s' occurs in %s", name, entry.path().c_str());
    }
}

Test(headerCodec, readsRequestLimitsAndDistrustsUnreadableOnes)
{
    const HeaderCodec codec;
    const auto limitOf = [&](const std::string& text) {
        return codec.parseAnswer({ 200, { { "Server-Limit", text } } });
    };
    for (const auto& [text, expected] : { std::pair("4.7", 4.7), { "0", 0.0 }, { "0.2", 0.2 }, { "1e9", 1e9 } }) {
        const auto answer = limitOf(text);
        cr_assert(answer.requestLimit == expected, "%s", text);
        cr_assert(!answer.hasInvalidLimit, "%s", text);
    }
    for (const auto* text : { "", "-1", "-0", "inf", "nan", "many", "5 a second", "4,7" }) {
        const auto answer = limitOf(text);
        cr_assert(!answer.requestLimit, "%s", text);
        cr_assert(answer.hasInvalidLimit, "%s", text);
    }
    const auto contradictory = codec.parseAnswer({ 200, { { "Server-Limit", "5" }, { "Server-Limit", "9" } } });
    cr_assert(!contradictory.requestLimit && contradictory.hasInvalidLimit);
    const auto unlimited = codec.parseAnswer({ 200, {} });
    cr_assert(!unlimited.requestLimit && !unlimited.hasInvalidLimit);
}

Test(headerCodec, readsBearableRefusalsAndDistrustsUnreadableOnes)
{
    const HeaderCodec codec;
    const auto answerWith = [&](const std::string& text) {
        return codec.parseAnswer({ 503, { { "Server-Brittle", text } } });
    };
    for (const auto& [text, expected] : { std::pair("5", 5.0), { "0", 0.0 }, { "2.5", 2.5 } }) {
        const auto answer = answerWith(text);
        cr_assert(answer.refusalLimit == expected && !answer.hasInvalidRefusalLimit, "%s", text);
        cr_assert(!answer.requestLimit && !answer.hasInvalidLimit, "%s", text);
    }
    for (const auto* text : { "", "-1", "nan", "inf", "few", "5 a second" }) {
        const auto answer = answerWith(text);
        cr_assert(!answer.refusalLimit && answer.hasInvalidRefusalLimit, "%s", text);
    }
    const auto contradictory = codec.parseAnswer({ 200, { { "Server-Brittle", "5" }, { "Server-Brittle", "9" } } });
    cr_assert(!contradictory.refusalLimit && contradictory.hasInvalidRefusalLimit);
    const auto silent = codec.parseAnswer({ 200, {} });
    cr_assert(!silent.refusalLimit && !silent.hasInvalidRefusalLimit);
}

Test(headerCodec, readsWhetherATargetIsLeaving)
{
    const HeaderCodec codec;
    for (const int status : { 200, 404, 421, 500, 503 }) {
        const auto answer = codec.parseAnswer({ status, { { "Server-Leaving", "1" } } });
        cr_assert(answer.isLeaving && !answer.hasInvalidBackoff, "%d", status);
    }
    for (const auto* text : { "", "0", "2", "11", "true", "yes", "1, 1" }) {
        const auto answer = codec.parseAnswer({ 200, { { "Server-Leaving", text } } });
        cr_assert(!answer.isLeaving && answer.hasInvalidBackoff, "%s", text);
    }
    const auto contradictory = codec.parseAnswer({ 200, { { "Server-Leaving", "0" }, { "server-leaving", "1" } } });
    cr_assert(contradictory.isLeaving);
    const auto silent = codec.parseAnswer({ 200, {} });
    cr_assert(!silent.isLeaving && !silent.hasInvalidBackoff && !silent.backoff);
}

Test(headerCodec, readsTimesWithoutRequestsAndDistrustsUnreadableOnes)
{
    const HeaderCodec codec;
    const auto backoffOf = [&](const std::string& text, int status = 503) {
        return codec.parseAnswer({ status, { { "Retry-After", text } } });
    };
    for (const auto& [text, expected] : { std::pair("5", 5.0), { "0.25", 0.25 }, { "0", 0.0 }, { "1e9", 1e9 } }) {
        const auto answer = backoffOf(text);
        cr_assert(answer.backoff && answer.backoff->count() == expected, "%s", text);
        cr_assert_not(answer.hasInvalidBackoff, "%s", text);
    }
    for (const auto* text :
        { "", "-5", "-0", "inf", "nan", "1e400", "soon", "5 s", "5, 7", "Wed, 21 Oct 2037 07:28:00 GMT" }) {
        const auto answer = backoffOf(text);
        cr_assert(!answer.backoff && answer.hasInvalidBackoff, "%s", text);
    }
    for (const int status : { 200, 429, 421, 500 }) {
        const auto answer = backoffOf("5", status);
        cr_assert(!answer.backoff && !answer.hasInvalidBackoff, "%d", status);
    }
    const auto two = codec.parseAnswer({ 503, { { "Retry-After", "9" }, { "Retry-After", "5" } } });
    cr_assert(two.backoff && two.backoff->count() == 9, "no request is wanted within either time");
    const auto mixed = codec.parseAnswer({ 503, { { "Retry-After", "soon" }, { "Retry-After", "5" } } });
    cr_assert(mixed.backoff && mixed.backoff->count() == 5 && mixed.hasInvalidBackoff);
}

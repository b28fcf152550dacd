#pragma once
// A site with the router's own interface before a scripted engine and a scripted service.

#include "tests/support/ScriptedTarget.h"
#include "tests/support/Site.h"

namespace testing {

struct OwnInterfaceSite {
    Application application;
    ScriptedTarget target;
    Site site;
    Caller caller { apiKey };

    /// @param health answers the health checks
    /// @param extraSettings further settings of the instance
    explicit OwnInterfaceSite(ScriptedTarget::Script script, ScriptedTarget::Script health = answerHealthCheck,
        const std::string& extraSettings = "")
        : target("X-Request-Id", byPath(std::move(script), std::move(health)))
        , site(optionsFor(this->target.address(), extraSettings))
    {
        this->site.startEntry();
    }

    AnswerPointer book(const std::string& key)
    {
        const auto answer = this->caller.post(
            this->site.entry(0), "/book-scripted", "{}", { { "Idempotency-Key", key }, { "X-Request-Id", key } });
        require(waitFor(answer, std::chrono::seconds(10)), "no answer to " + key);
        return answer;
    }
    AnswerPointer read(const std::string& id)
    {
        const auto answer
            = this->caller.send(this->site.entry(0), { "GET", "/scripted", { { "X-Request-Id", id } }, {} });
        require(waitFor(answer, std::chrono::seconds(10)), "no answer to " + id);
        return answer;
    }
    /// @param isStream whether the caller gets the answer as a stream
    AnswerPointer complete(const std::string& id, bool isStream = false)
    {
        const auto answer = this->caller.complete(this->site.entry(0), "assistant", "a prompt", 1, id, isStream);
        require(waitFor(answer, std::chrono::seconds(10)), "no answer to " + id);
        return answer;
    }

    static void answerHealthCheck(const ScriptedRequest&, QTcpSocket& socket)
    {
        ScriptedTarget::write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    }

private:
    static ScriptedTarget::Script byPath(ScriptedTarget::Script script, ScriptedTarget::Script health)
    {
        return [script = std::move(script), health = std::move(health)](const ScriptedRequest& request,
                   QTcpSocket& socket) { (request.path == "/health" ? health : script)(request, socket); };
    }
    static SiteOptions optionsFor(const dragonfly::Endpoint& target, const std::string& extraSettings)
    {
        SiteOptions options;
        options.extraSettings = extraSettings;
        options.enginesPerCentre = 0;
        options.threads = 1; // each thread has its own connections
        const auto common = "\naddress: " + target.toString() + "\ndataCentre: " + centreName(0);
        options.extraObjects = "---\nkind: target\nname: scripted-engine" + common + "\nserves: [assistant]\n"
            + "---\nkind: target\nname: scripted-service" + common + "\nprotocol: service\n"
            + "---\nkind: route\nname: book-scripted\npath: /book-scripted\ntargets: [scripted-service]\nidempotent: "
              "false\ndeadline: 5s\n---\nkind: route\nname: scripted\npath: /scripted\ntargets: "
              "[scripted-service]\nidempotent: true\n"
              "deadline: 5s\n";
        return options;
    }
};

/// The head and body of an answer on this interface.
inline std::string ownAnswer(int status, const std::string& fields, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string ownIdLine(const ScriptedRequest& request)
{
    return "X-Request-Id: " + request.id + "\r\n";
}

}

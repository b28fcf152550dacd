// dragonflyctl: the command-line tool for operators. Publishes configuration and queries instances.

#include "ctl/ObjectDiff.h"
#include "ctl/Publisher.h"

#include <QCoreApplication>
#include <QDateTime>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>

namespace {

namespace options = boost::program_options;
using namespace dragonfly;

/// Exit statuses, as documented in docs/operators.md.
enum ExitStatus : int {
    Done = 0,
    Failed = 1,
    Usage = 2,
    Invalid = 3,
    Conflict = 4,
    Unknown = 5,
};

/// File in DIR with the revision that the objects in DIR are based on.
constexpr const char* baseRevisionFile = ".dragonfly-base";
constexpr const char* help = R"(dragonflyctl [options] COMMAND

  validate DIR          validate the objects in DIR
  diff DIR              show what publishing DIR would change
  publish DIR           publish the objects in DIR
  show [KIND [NAME]]    show the objects in force
  status                show the revision, targets and limits of each instance
  explain REQUEST-ID    show the targets of a request and why they were chosen

Exit status: 0 done, 1 failed, 2 wrong usage, 3 objects with mistakes,
4 somebody else published first, 5 it is not known whether it took effect.
)";

struct Arguments {
    std::vector<std::string> words;
    std::vector<Endpoint> platform;
    std::vector<Endpoint> admins;
    std::optional<uint64_t> base;
    std::string author;
    bool json = false;
};

std::vector<Endpoint> readEndpoints(const std::vector<std::string>& texts)
{
    std::vector<Endpoint> endpoints;
    for (const auto& text : texts) {
        const auto endpoint = parseEndpoint(text);
        if (!endpoint)
            throw options::error("'" + text + "': expected an IP number and a port, such as 127.0.0.1:2379");
        endpoints.push_back(*endpoint);
    }
    return endpoints;
}

std::optional<Arguments> readArguments(int argc, char** argv)
{
    Arguments arguments;
    std::vector<std::string> platform;
    std::vector<std::string> admins;
    uint64_t base = 0;
    options::options_description visible("Options");
    visible.add_options()("platform", options::value(&platform)->composing(), "address of the platform's service")(
        "admin", options::value(&admins)->composing(), "admin address of an instance; may be given several times")(
        "base", options::value(&base), "publish: the revision that DIR was edited from; overrides DIR/.dragonfly-base")(
        "author", options::value(&arguments.author)->default_value("operator"), "publish: name recorded as the author")(
        "json", "print JSON")("help", "print this help");
    options::options_description all;
    all.add(visible).add_options()("words", options::value(&arguments.words));
    options::positional_options_description positional;
    positional.add("words", -1);
    options::variables_map variables;
    options::store(options::command_line_parser(argc, argv).options(all).positional(positional).run(), variables);
    options::notify(variables);
    if (variables.count("help")) {
        std::cout << help << "\n" << visible;
        return std::nullopt;
    }
    arguments.platform = readEndpoints(platform);
    arguments.admins = readEndpoints(admins);
    arguments.json = variables.count("json");
    if (variables.count("base"))
        arguments.base = base;
    return arguments;
}

int reportError(ExitStatus status, const std::string& message)
{
    std::cerr << "dragonflyctl: " << message << "\n";
    return status;
}

/// Loads the objects in @p directory. Prints every problem and returns nothing if there is any.
std::optional<pb::ConfigPart> loadValidObjects(const std::string& directory)
{
    auto loaded = config::loadObjects(directory);
    for (const auto& problem : loaded.problems)
        std::cerr << toString(problem) << "\n";
    if (!loaded.problems.empty())
        return std::nullopt;
    return std::move(loaded.set.objects);
}

void printChanges(const std::vector<ctl::ObjectChange>& changes, bool json)
{
    if (!json) {
        for (const auto& change : changes)
            std::cout << toString(change) << "\n";
        return;
    }
    QJsonArray list;
    for (const auto& change : changes) {
        static constexpr const char* kinds[] = { "added", "removed", "changed" };
        list.append(QJsonObject { { "object", QString::fromStdString(change.object) },
            { "change", kinds[static_cast<size_t>(change.kind)] } });
    }
    std::cout << QJsonDocument(list).toJson(QJsonDocument::Compact).toStdString() << "\n";
}

uint64_t baseRevision(const Arguments& arguments, const std::string& directory)
{
    uint64_t base = 0;
    std::ifstream(directory + "/" + baseRevisionFile) >> base;
    return arguments.base.value_or(base);
}

int validate(const std::string& directory)
{
    const auto objects = loadValidObjects(directory);
    if (!objects)
        return Invalid;
    std::cout << directory << ": ok, " << ctl::listObjects(*objects).size() << " objects\n";
    return Done;
}

int diff(const Arguments& arguments, ctl::BlockingStore& store, const std::string& directory)
{
    const auto objects = loadValidObjects(directory);
    if (!objects)
        return Invalid;
    const auto stored = ctl::readStoredConfig(store);
    if (const auto* error = errorOf(stored))
        return reportError(Failed, error->detail);
    printChanges(ctl::diffObjects(std::get<ctl::StoredConfig>(stored).objects, *objects), arguments.json);
    return Done;
}

int reportConflict(const Arguments& arguments, const ctl::PublishConflict& conflict, const pb::ConfigPart& objects)
{
    const auto& manifest = conflict.current.publication.manifest;
    std::cerr << "dragonflyctl: nothing was published: revision " << manifest.revision() << " by '" << manifest.author()
              << "' is in force, and the files are not based on it. Differences:\n";
    printChanges(ctl::diffObjects(conflict.current.objects, objects), arguments.json);
    std::cerr << "Merge the changes of that revision into the files, then publish with --base " << manifest.revision()
              << ".\n";
    return Conflict;
}

int publish(const Arguments& arguments, ctl::BlockingStore& store, const std::string& directory)
{
    const auto objects = loadValidObjects(directory);
    if (!objects)
        return Invalid;
    const auto outcome = ctl::publish(store, *objects, baseRevision(arguments, directory), arguments.author);
    if (const auto* conflict = std::get_if<ctl::PublishConflict>(&outcome))
        return reportConflict(arguments, *conflict, *objects);
    if (const auto* failed = std::get_if<ctl::PublishFailed>(&outcome))
        return reportError(Failed, failed->reason);
    if (std::holds_alternative<ctl::PublishUnknown>(outcome))
        return reportError(Unknown, "the platform's service stopped answering; run diff to see what is in force");
    const auto revision = std::get<ctl::Published>(outcome).revision;
    std::ofstream(directory + "/" + baseRevisionFile) << revision << "\n";
    if (arguments.json)
        std::cout << "{\"revision\":" << revision << "}\n";
    else
        std::cout << "published revision " << revision << "\n";
    return Done;
}

int show(const Arguments& arguments, ctl::BlockingStore& store)
{
    const auto stored = ctl::readStoredConfig(store);
    if (const auto* error = errorOf(stored))
        return reportError(Failed, error->detail);
    const auto& words = arguments.words;
    bool found = false;
    for (const auto& object : ctl::listObjects(std::get<ctl::StoredConfig>(stored).objects)) {
        if ((words.size() > 1 && object.kind != words[1]) || (words.size() > 2 && object.name != words[2]))
            continue;
        found = true;
        if (arguments.json || words.size() > 1)
            std::cout << object.json << "\n";
        else
            std::cout << object.kind << "/" << object.name << "\n";
    }
    return found || words.size() == 1 ? Done : reportError(Failed, "no such object is in force");
}

void printStatus(const QJsonObject& status)
{
    const auto since = QDateTime::fromMSecsSinceEpoch(status["config_in_force_since_unix_ms"].toInteger(), Qt::UTC);
    std::cout << status["instance"].toString().toStdString() << " (" << status["data_centre"].toString().toStdString()
              << "): " << status["phase"].toString().toStdString() << ", revision "
              << status["config_revision"].toInteger() << " since " << since.toString(Qt::ISODate).toStdString()
              << ", platform " << (status["platform_reachable"].toBool() ? "reached" : "unreachable") << ", "
              << status["live_peers"].toArray().size() << " peers, " << status["active_requests"].toInt()
              << " active requests, share of limits " << status["limit_share"].toDouble() << "\n";
    for (const auto& item : status["targets"].toArray()) {
        const auto target = item.toObject();
        std::cout << "  " << target["name"].toString().toStdString() << ": "
                  << (target["leaving"].toBool() ? "leaving" : (target["avoided"].toBool() ? "avoided" : "in use"))
                  << ", " << target["in_flight"].toInt() << " in flight, " << target["queued_tokens"].toInt()
                  << " tokens queued\n";
    }
}

int status(const Arguments& arguments)
{
    int result = Done;
    for (const auto& admin : arguments.admins) {
        const auto answer = ctl::fetch(admin, "/status");
        if (const auto* error = errorOf(answer)) {
            result = reportError(Failed, admin.toString() + ": " + error->detail);
            continue;
        }
        const auto& body = std::get<std::string>(answer);
        if (arguments.json)
            std::cout << body << "\n";
        else
            printStatus(QJsonDocument::fromJson(QByteArray::fromStdString(body)).object());
    }
    return result;
}

void printExplanation(const QJsonObject& explanation)
{
    std::cout << "request " << explanation["request_id"].toString().toStdString() << ": "
              << explanation["outcome"].toString().toStdString() << " after " << explanation["took_us"].toInteger()
              << " us; organisation " << explanation["organisation"].toString().toStdString() << ", route "
              << explanation["route"].toString().toStdString() << ", configuration "
              << explanation["config_revision"].toInteger() << "; " << explanation["cached_tokens"].toInt()
              << " of about " << explanation["prompt_tokens"].toInt() << " prompt tokens cached, "
              << explanation["completion_tokens"].toInt() << " tokens answered\n";
    for (const auto& item : explanation["attempts"].toArray()) {
        const auto attempt = item.toObject();
        std::cout << "  " << attempt["target"].toString().toStdString() << " ("
                  << attempt["reach"].toString().toStdString() << "): " << attempt["reason"].toString().toStdString()
                  << ", of " << attempt["candidates"].toInt() << " candidates; estimated to have cached "
                  << attempt["believed_cached_tokens"].toInt() << " tokens; first token expected after "
                  << attempt["expected_first_token_us"].toInteger() << " us, received after "
                  << attempt["first_token_us"].toInteger() << " us; " << attempt["outcome"].toString().toStdString()
                  << "\n";
    }
}

int explain(const Arguments& arguments, const std::string& requestId)
{
    for (const auto& admin : arguments.admins) {
        const auto answer = ctl::fetch(admin, "/explain/" + requestId);
        if (errorOf(answer))
            continue;
        const auto& body = std::get<std::string>(answer);
        if (arguments.json)
            std::cout << body << "\n";
        else
            printExplanation(QJsonDocument::fromJson(QByteArray::fromStdString(body)).object());
        return Done;
    }
    return reportError(Failed, "no queried instance has a record of request " + requestId);
}

int run(const Arguments& arguments)
{
    const auto& words = arguments.words;
    const auto command = words.empty() ? std::string() : words[0];
    const bool hasArgument = words.size() == 2;
    if (command == "validate" && hasArgument)
        return validate(words[1]);
    if ((command == "status" && words.size() == 1) || (command == "explain" && hasArgument)) {
        if (arguments.admins.empty())
            return reportError(Usage, "--admin ADDRESS is required");
        return command == "status" ? status(arguments) : explain(arguments, words[1]);
    }
    const bool usesStore
        = ((command == "diff" || command == "publish") && hasArgument) || (command == "show" && words.size() <= 3);
    if (!usesStore) {
        std::cerr << help;
        return Usage;
    }
    if (arguments.platform.empty())
        return reportError(Usage, "--platform ADDRESS is required");
    http::ClientPool pool;
    store::GatewayStore gatewayStore(arguments.platform, &pool);
    ctl::BlockingStore store(gatewayStore);
    if (command == "show")
        return show(arguments, store);
    return command == "diff" ? diff(arguments, store, words[1]) : publish(arguments, store, words[1]);
}

}

int main(int argc, char** argv)
{
    QCoreApplication application(argc, argv);
    try {
        const auto arguments = readArguments(argc, argv);
        return arguments ? run(*arguments) : Done;
    } catch (const options::error& failure) {
        return reportError(Usage, failure.what());
    }
}

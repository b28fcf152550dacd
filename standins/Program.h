#pragma once
// Helpers shared by all stand-in programs: command-line options, a listening HTTP server and JSON.

#include "http/Http.h"

#include <QCoreApplication>
#include <QJsonDocument>
#include <QJsonObject>
#include <boost/program_options.hpp>
#include <iostream>
#include <optional>

namespace standins {

namespace options = boost::program_options;
namespace http = dragonfly::http;

/// Parses the command line; prints the error and the usage and returns nullopt if an option is invalid.
inline std::optional<options::variables_map> parseOptions(
    int argc, char** argv, options::options_description& description)
{
    options::variables_map parsed;
    try {
        options::store(options::parse_command_line(argc, argv, description), parsed);
        options::notify(parsed);
        return parsed;
    } catch (const options::error& failure) {
        std::cerr << argv[0] << ": " << failure.what() << "\n" << description;
        return std::nullopt;
    }
}

/// Listens on 127.0.0.1 and prints "@p label 127.0.0.1:PORT". Returns false if it cannot listen.
inline bool listenAndPrint(http::Server& server, uint16_t port, const char* label = "listen")
{
    const auto result = server.listenShared({ "127.0.0.1", port });
    if (const auto* error = dragonfly::errorOf(result)) {
        std::cerr << error->detail << "\n";
        return false;
    }
    std::cout << label << " " << std::get<dragonfly::Endpoint>(result).toString() << std::endl;
    return true;
}

inline QJsonObject parseJson(const std::string& body)
{
    return QJsonDocument::fromJson(QByteArray::fromStdString(body)).object();
}

inline std::string toJson(const QJsonObject& object)
{
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

inline void respondJson(http::Exchange& exchange, int status, const QJsonObject& object)
{
    exchange.respond(status, { { "Content-Type", "application/json" } }, toJson(object));
}

}

#pragma once
// What every stand-in program shares: flags, a listening HTTP server, and small JSON helpers.

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

/// Reads flags; prints usage and returns nothing when they are wrong.
inline std::optional<options::variables_map> readFlags(int argc, char** argv, options::options_description& description)
{
    options::variables_map given;
    try {
        options::store(options::parse_command_line(argc, argv, description), given);
        options::notify(given);
        return given;
    } catch (const options::error& failure) {
        std::cerr << argv[0] << ": " << failure.what() << "\n" << description;
        return std::nullopt;
    }
}

/// Listens on 127.0.0.1 and prints "@p label 127.0.0.1:PORT". False when the port is taken.
inline bool listenAndPrint(http::Server& server, uint16_t port, const char* label = "listen")
{
    const auto listened = server.listenShared({ "127.0.0.1", port });
    if (const auto* error = dragonfly::errorOf(listened)) {
        std::cerr << error->detail << "\n";
        return false;
    }
    std::cout << label << " " << std::get<dragonfly::Endpoint>(listened).toString() << std::endl;
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

#pragma once
// Structured log lines on standard output: time, level, instance and event, then name=value pairs.
//
// Lines about state changes are not rate-limited. Lines about single requests are, with a reserve for failed and
// refused requests, and lines about refused records and callers' connections are, since others cause these; the number
// of dropped lines is logged. Writing never blocks: while the pipe is full, lines of all kinds are dropped and counted.

#include <initializer_list>
#include <string>
#include <string_view>

namespace dragonfly::observe {

struct LogField {
    std::string_view name;
    std::string value;
};

enum class LogLevel {
    Info,
    Warning,
    Error,
};

enum class RequestOutcome {
    Answered,
    Failed,
    Refused, ///< before it was sent to a target
};

/// Starts logging to standard output. Each line contains the time and the name of the instance.
void startLog(const std::string& instance);

/// Logs one line: the event, then name=value pairs. Never pass API keys or prompts.
void logChange(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

/// Logs one line about one request, subject to the rate limit.
void logRequest(RequestOutcome outcome, std::initializer_list<LogField> fields);

/// Logs one line about a record that cannot be used, subject to a rate limit.
void logRefusedRecord(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);

/// Logs one line about one caller's connection, subject to a rate limit.
void logConnection(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);

/// Number of lines dropped since the start, because of the rate limit or a full pipe.
uint64_t droppedLogLines();

}

#pragma once
// Structured log lines, written only when some state changes. Rates belong into metrics.

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

/// Sends log lines to standard error, each with the time and the name of the instance.
void startLog(const std::string& instance);

/// One line: what changed, then name=value pairs. Never pass keys or prompts.
void logChange(LogLevel level, std::string_view what, std::initializer_list<LogField> fields = {});

}

#pragma once
// Structured log lines on standard output: name=value pairs behind the time, a level and what happened.
//
// State changes are always written. Decisions about single requests have a budget of lines a second, in
// which failures go before successes; what does not fit is counted and the count is logged. Writing never
// blocks: lines are handed to the pipe when it has room and are dropped and counted when it has none.

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

enum class Decision {
    Answered,
    Failed,
    Refused, ///< before it was offered to a target
};

/// Sends log lines to standard output, each with the time and the name of the instance.
void startLog(const std::string& instance);

/// One line: what changed, then name=value pairs. Never pass keys or prompts.
void logChange(LogLevel level, std::string_view what, std::initializer_list<LogField> fields = {});

/// One line about one request, within the budget.
void logDecision(Decision decision, std::initializer_list<LogField> fields);

/// Lines that were not written since the start, because of the budget or a full pipe.
uint64_t droppedLogLines();

}

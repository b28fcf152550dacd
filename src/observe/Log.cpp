#include "observe/Log.h"

#include "observe/LogRateLimiter.h"

#include <atomic>
#include <boost/date_time/posix_time/posix_time_io.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/make_shared.hpp>
#include <mutex>
#include <poll.h>
#include <unistd.h>

namespace dragonfly::observe {

namespace logging = boost::log;

namespace {

    /// Limits for lines about single requests: a small instance logs every request, and a busy one stays bounded.
    constexpr double requestLinesPerSecond = 60;
    constexpr double requestLineBurst = 240;
    /// Lines reserved for requests that failed or were refused.
    constexpr double failedRequestReserve = 120;

    /// Limits for lines about refused records: a few faulty ones are all named, a flood of them stays bounded.
    constexpr double recordLinesPerSecond = 10;
    constexpr double recordLineBurst = 100;

    /// Limits for lines about callers' connections: a few odd ones are all named, a flood of them stays bounded.
    constexpr double connectionLinesPerSecond = 10;
    constexpr double connectionLineBurst = 100;

    std::atomic<uint64_t> dropped { 0 };

    /// Lines of one kind, of which only some are written.
    struct LimitedLines {
        std::string_view droppedEvent; ///< logged with the number of dropped lines
        LogRateLimiter limiter; ///< guarded by the mutex
        std::mutex mutex;
        std::atomic<uint64_t> droppedSinceLast { 0 };

        /// Whether a line may be written.
        bool tryAcquire(bool isImportant)
        {
            const std::lock_guard guard(this->mutex);
            if (this->limiter.tryAcquire(isImportant, Clock::now()))
                return true;
            dropped.fetch_add(1, std::memory_order_relaxed);
            this->droppedSinceLast.fetch_add(1, std::memory_order_relaxed);
            return false;
        }
        void logDropped()
        {
            if (const auto count = this->droppedSinceLast.exchange(0, std::memory_order_relaxed))
                logChange(LogLevel::Info, this->droppedEvent, { { "count", std::to_string(count) } });
        }
    };

    LimitedLines requestLines { "request log lines dropped",
        { requestLinesPerSecond, requestLineBurst, failedRequestReserve }, {}, {} };
    LimitedLines recordLines { "refused record log lines dropped", { recordLinesPerSecond, recordLineBurst, 0 }, {},
        {} };

    LimitedLines connectionLines { "connection log lines dropped", { connectionLinesPerSecond, connectionLineBurst, 0 },
        {}, {} };

    /// Writes lines to standard output without blocking; a line is dropped while the pipe is full.
    class StandardOutputBackend
        : public logging::sinks::basic_formatted_sink_backend<char, logging::sinks::synchronized_feeding> {
    public:
        void consume(const logging::record_view&, const std::string& line)
        {
            pollfd state { STDOUT_FILENO, POLLOUT, 0 };
            auto text = line + "\n";
            const bool isWritable = poll(&state, 1, 0) == 1 && (state.revents & POLLOUT);
            // A writable pipe accepts PIPE_BUF bytes without blocking; longer lines are truncated.
            if (text.size() > PIPE_BUF) {
                text.resize(PIPE_BUF);
                text.back() = '\n';
            }
            const auto size = static_cast<ssize_t>(text.size());
            if (!isWritable || write(STDOUT_FILENO, text.data(), text.size()) != size)
                dropped.fetch_add(1, std::memory_order_relaxed);
        }
    };

    bool needsQuotes(std::string_view value)
    {
        return value.empty() || value.find_first_of(" \"=\n\r") != std::string_view::npos;
    }

    void appendValue(std::string& line, std::string_view value)
    {
        if (!needsQuotes(value)) {
            line.append(value);
            return;
        }
        line.push_back('"');
        for (const char c : value) {
            if (c == '"' || c == '\\')
                line.push_back('\\');
            line.push_back(c == '\n' || c == '\r' ? ' ' : c);
        }
        line.push_back('"');
    }

    std::string formatLine(std::string_view event, std::initializer_list<LogField> fields)
    {
        std::string line = "event=";
        appendValue(line, event);
        for (const auto& field : fields) {
            line.append(" ").append(field.name).append("=");
            appendValue(line, field.value);
        }
        return line;
    }

    std::string_view eventOf(RequestOutcome outcome)
    {
        switch (outcome) {
        case RequestOutcome::Answered:
            return "request answered";
        case RequestOutcome::Failed:
            return "request failed";
        case RequestOutcome::Refused:
            break;
        }
        return "request refused";
    }

}

void startLog(const std::string& instance)
{
    using Sink = logging::sinks::synchronous_sink<StandardOutputBackend>;
    logging::add_common_attributes();
    auto sink = boost::make_shared<Sink>();
    sink->set_formatter(logging::expressions::stream
        << "time="
        << logging::expressions::format_date_time<boost::posix_time::ptime>("TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
        << " level=" << logging::trivial::severity << " instance=" << instance << " "
        << logging::expressions::smessage);
    logging::core::get()->add_sink(sink);
}

void logChange(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    const auto line = formatLine(event, fields);
    switch (level) {
    case LogLevel::Info:
        BOOST_LOG_TRIVIAL(info) << line;
        break;
    case LogLevel::Warning:
        BOOST_LOG_TRIVIAL(warning) << line;
        break;
    case LogLevel::Error:
        BOOST_LOG_TRIVIAL(error) << line;
        break;
    }
}

void logRequest(RequestOutcome outcome, std::initializer_list<LogField> fields)
{
    if (!requestLines.tryAcquire(outcome != RequestOutcome::Answered))
        return;
    requestLines.logDropped();
    BOOST_LOG_TRIVIAL(info) << formatLine(eventOf(outcome), fields);
}

void logRefusedRecord(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    if (!recordLines.tryAcquire(true))
        return;
    recordLines.logDropped();
    logChange(level, event, fields);
}

void logConnection(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    if (!connectionLines.tryAcquire(true))
        return;
    connectionLines.logDropped();
    logChange(level, event, fields);
}

uint64_t droppedLogLines()
{
    return dropped.load(std::memory_order_relaxed);
}

}

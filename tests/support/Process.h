#pragma once
// Runs a program under test in a process of its own.

#include "base/Base.h"

#include <QProcess>
#include <map>
#include <string>

namespace testing {

/// Prints @p message and aborts the test or the tool if @p condition is false, as later results would be meaningless.
void require(bool condition, const std::string& message);

/// Runs the event loop until @p condition holds; false if it does not hold within @p timeout.
bool waitUntil(const std::function<bool()>& condition, std::chrono::milliseconds timeout);
/// Runs the event loop for @p duration.
void runFor(std::chrono::milliseconds duration);

class Process {
public:
    /// Starts @p program from the build folder and waits until it prints a line that begins with @p readyLabel.
    Process(const std::string& program, const QStringList& arguments, const std::string& readyLabel = "listen");
    ~Process();

    /// Returns the address printed after @p label.
    dragonfly::Endpoint address(const std::string& label = "listen");
    void kill(); ///< SIGKILL
    void freeze(); ///< SIGSTOP
    void thaw(); ///< SIGCONT
    void terminate(); ///< SIGTERM
    void hangUp(); ///< SIGHUP
    /// True if the text after the first word of a line on standard output contains @p part.
    bool printedLine(const std::string& part);
    /// The first such line, without its first word; empty if there is none.
    std::string findLine(const std::string& part);
    bool isRunning() const
    {
        return this->process.state() != QProcess::NotRunning;
    }
    /// Waits for the process to exit and returns its exit status; -1 after a timeout or a crash.
    int waitForExit(std::chrono::milliseconds timeout);
    /// Resident memory in bytes.
    uint64_t residentBytes() const;
    /// The most resident memory that the process has had, in bytes.
    uint64_t peakResidentBytes() const;
    /// Processor time used so far, user and system, in seconds.
    double processorSeconds() const;
    /// Standard error up to now.
    std::string log() const
    {
        return this->errors;
    }

private:
    void signal(int signalNumber);
    void readLines();

    QProcess process;
    std::map<std::string, std::string> printed; ///< rest of the last line printed for each first word
    std::string errors;
};

/// Result of a program that was run to its end.
struct Finished {
    int exitStatus = -1; ///< -1 after a timeout or a crash
    std::string output;
    std::string errors;
};
/// Runs @p program to its end; kills it after @p timeout.
Finished runToEnd(const std::string& program, const QStringList& arguments, std::chrono::milliseconds timeout);

}

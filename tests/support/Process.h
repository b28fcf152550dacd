#pragma once
// One program under test, started as a process of its own.

#include "base/Base.h"

#include <QProcess>
#include <map>
#include <string>

namespace testing {

/// Ends the test, or the tool, when @p condition does not hold: what follows would mean nothing.
void require(bool condition, const std::string& why);

/// Runs the event loop until @p condition holds; false when @p time passed first.
bool waitUntil(const std::function<bool()>& condition, std::chrono::milliseconds time);
void runFor(std::chrono::milliseconds time);

class Process {
public:
    /// Starts @p program from the build folder and waits for the line that begins with @p readyLabel.
    Process(const std::string& program, const QStringList& arguments, const std::string& readyLabel = "listen");
    ~Process();

    /// The address that was printed after @p label.
    dragonfly::Endpoint address(const std::string& label = "listen");
    void kill(); ///< SIGKILL
    void freeze(); ///< SIGSTOP
    void thaw(); ///< SIGCONT
    void terminate(); ///< SIGTERM
    void hangUp(); ///< SIGHUP
    /// Whether a line with @p part was printed on standard output.
    bool printedLine(const std::string& part);
    bool isRunning() const
    {
        return this->process.state() != QProcess::NotRunning;
    }
    /// Waits for the end; -1 when it did not come in time or was a crash.
    int waitForExit(std::chrono::milliseconds time);
    /// Resident memory in bytes.
    uint64_t residentBytes() const;
    /// Processor time used so far.
    double processorSeconds() const;
    std::string log() const
    {
        return this->errors;
    }

private:
    void signal(int number);
    void readLines();

    QProcess process;
    std::map<std::string, std::string> printed; ///< by the first word of the line
    std::string errors;
};

/// Runs @p program to its end.
struct Finished {
    int exitStatus = -1;
    std::string output;
    std::string errors;
};
Finished runToEnd(const std::string& program, const QStringList& arguments, std::chrono::milliseconds time);

}

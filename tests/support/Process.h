#pragma once
// Runs a program under test in a process of its own.

#include "base/Base.h"

#include <QProcess>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace testing {

/// Prints @p message and aborts the test or the tool if @p condition is false, as later results would be meaningless.
void require(bool condition, const std::string& message);

/// Runs the event loop until @p condition holds; false if it does not hold within @p timeout.
bool waitUntil(const std::function<bool()>& condition, std::chrono::milliseconds timeout);
/// Runs the event loop for @p duration, to the millisecond and never for less.
void runFor(std::chrono::milliseconds duration);

/// Holds the port of a server that has ended, without listening: connections to it are refused, and no socket that
/// takes any free port gets it. A server that names the port may listen there.
class KeptPort {
public:
    explicit KeptPort(const dragonfly::Endpoint& endpoint);
    ~KeptPort();
    KeptPort(const KeptPort&) = delete;
    KeptPort& operator=(const KeptPort&) = delete;

private:
    int descriptor;
};

class Process {
public:
    /// Starts @p program from the build folder and waits until it prints a line that begins with @p readyLabel.
    Process(const std::string& program, const QStringList& arguments, const std::string& readyLabel = "listen");
    ~Process();

    /// Returns the address printed after @p label.
    dragonfly::Endpoint address(const std::string& label = "listen");
    /// SIGKILL. Connections to the addresses of the process are refused from then on: until the process is started
    /// again there, no other one gets them.
    void kill();
    void freeze(); ///< SIGSTOP
    void thaw(); ///< SIGCONT
    void terminate(); ///< SIGTERM
    void hangUp(); ///< SIGHUP
    /// True if the text after the first word of a line on standard output contains @p part.
    bool printedLine(const std::string& part);
    /// The first such line, without its first word; empty if there is none.
    std::string findLine(const std::string& part);
    /// The same for a line that may be printed a moment after its cause; waits for it up to @p timeout.
    std::string awaitLine(const std::string& part, std::chrono::milliseconds timeout = std::chrono::seconds(1));
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
    /// Limits the number of descriptors that the process may open.
    void limitDescriptors(size_t limit);
    /// The number of open descriptors.
    size_t descriptorCount() const;
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
    void keepPorts();

    QProcess process;
    std::map<std::string, std::string> printed; ///< rest of the last line printed for each first word
    std::string errors;
    std::vector<std::unique_ptr<KeptPort>> keptPorts; ///< those of the killed process
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

#include "tests/support/Process.h"

#include <QCoreApplication>
#include <QDir>
#include <QEventLoop>
#include <QThread>
#include <QTimer>
#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

namespace testing {

using namespace dragonfly;

namespace {

    /// Appends the output of programs to the file named by DRAGONFLY_TEST_LOG, for tracing a failed test.
    void logOutput(qint64 processId, const std::string& line)
    {
        if (const char* file = std::getenv("DRAGONFLY_TEST_LOG"))
            std::ofstream(file, std::ios::app) << processId << ' ' << line << '\n';
    }

}

void require(bool condition, const std::string& message)
{
    if (condition)
        return;
    std::cerr << message << std::endl;
    std::abort();
}

bool waitUntil(const std::function<bool()>& condition, std::chrono::milliseconds timeout)
{
    const auto deadline = Clock::now() + timeout;
    while (!condition()) {
        if (Clock::now() >= deadline)
            return false;
        QCoreApplication::processEvents(QEventLoop::AllEvents | QEventLoop::WaitForMoreEvents, 5);
        QThread::usleep(200);
    }
    return true;
}

void runFor(std::chrono::milliseconds duration)
{
    const auto end = Clock::now() + duration;
    do {
        QEventLoop loop;
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(end - Clock::now());
        QTimer::singleShot(std::max(left, std::chrono::milliseconds(0)), Qt::PreciseTimer, &loop, &QEventLoop::quit);
        loop.exec();
    } while (Clock::now() < end);
}

KeptPort::KeptPort(const Endpoint& endpoint)
    : descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const int isReusable = 1; // also by the server that is started again
    ::setsockopt(this->descriptor, SOL_SOCKET, SO_REUSEADDR, &isReusable, sizeof(isReusable));
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    const bool isAddress = ::inet_pton(AF_INET, endpoint.host.c_str(), &address.sin_addr) == 1;
    require(isAddress && !::bind(this->descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)),
        "the port of " + endpoint.toString() + " was taken");
}

KeptPort::~KeptPort()
{
    ::close(this->descriptor);
}

Process::Process(const std::string& program, const QStringList& arguments, const std::string& readyLabel)
{
    // A test that crashes or times out runs no destructors, so the kernel must kill its child processes.
    this->process.setChildProcessModifier([] { prctl(PR_SET_PDEATHSIG, SIGKILL); });
    this->process.start(QString::fromStdString(std::string(BUILD_FOLDER) + "/" + program), arguments);
    QObject::connect(&this->process, &QProcess::readyReadStandardError,
        [this] { this->errors += this->process.readAllStandardError().toStdString(); });
    QObject::connect(&this->process, &QProcess::readyReadStandardOutput, [this] { this->readLines(); });
    const bool ready
        = waitUntil([&] { return this->printed.contains(readyLabel) || !this->isRunning(); }, std::chrono::seconds(20));
    require(ready && this->printed.contains(readyLabel), program + " did not start: " + this->errors);
}

Process::~Process()
{
    this->process.disconnect();
    if (!this->isRunning())
        return;
    this->thaw();
    this->process.kill();
    this->process.waitForFinished();
}

void Process::readLines()
{
    while (this->process.canReadLine()) {
        const auto line = this->process.readLine().trimmed().toStdString();
        logOutput(this->process.processId(), line);
        const auto space = line.find(' ');
        this->printed[line.substr(0, space)] = space == std::string::npos ? "" : line.substr(space + 1);
    }
}

Endpoint Process::address(const std::string& label)
{
    const auto endpoint = parseEndpoint(this->printed[label]);
    require(endpoint.has_value(), "no address was printed after " + label);
    return *endpoint;
}

void Process::signal(int number)
{
    if (this->process.processId())
        ::kill(static_cast<pid_t>(this->process.processId()), number);
}

void Process::kill()
{
    if (!this->isRunning())
        return;
    this->signal(SIGKILL);
    this->process.waitForFinished();
    this->keepPorts();
}

void Process::keepPorts()
{
    for (const auto& [label, text] : this->printed) {
        if (const auto endpoint = parseEndpoint(text); endpoint && endpoint->port)
            this->keptPorts.push_back(std::make_unique<KeptPort>(*endpoint));
    }
}

void Process::freeze()
{
    this->signal(SIGSTOP);
}

void Process::thaw()
{
    this->signal(SIGCONT);
}

void Process::hangUp()
{
    this->signal(SIGHUP);
}

std::string Process::findLine(const std::string& part)
{
    const auto found = std::find_if(this->printed.begin(), this->printed.end(),
        [&part](const auto& line) { return line.second.find(part) != std::string::npos; });
    return found == this->printed.end() ? "" : found->second;
}

std::string Process::awaitLine(const std::string& part, std::chrono::milliseconds timeout)
{
    waitUntil([&] { return this->printedLine(part); }, timeout);
    return this->findLine(part);
}

bool Process::printedLine(const std::string& part)
{
    return !this->findLine(part).empty();
}

void Process::terminate()
{
    this->signal(SIGTERM);
}

int Process::waitForExit(std::chrono::milliseconds timeout)
{
    const bool ended = waitUntil([this] { return !this->isRunning(); }, timeout);
    return ended && this->process.exitStatus() == QProcess::NormalExit ? this->process.exitCode() : -1;
}

uint64_t Process::residentBytes() const
{
    std::ifstream file("/proc/" + std::to_string(this->process.processId()) + "/statm");
    uint64_t pages = 0;
    file >> pages >> pages;
    return pages * static_cast<uint64_t>(sysconf(_SC_PAGESIZE));
}

void Process::limitDescriptors(size_t limit)
{
    const rlimit limits { limit, limit };
    const auto id = static_cast<pid_t>(this->process.processId());
    require(!prlimit(id, RLIMIT_NOFILE, &limits, nullptr), "the number of descriptors cannot be limited");
}

size_t Process::descriptorCount() const
{
    const QDir folder("/proc/" + QString::number(this->process.processId()) + "/fd");
    return folder.entryList(QDir::AllEntries | QDir::System | QDir::Hidden | QDir::NoDotAndDotDot).size();
}

uint64_t Process::peakResidentBytes() const
{
    std::ifstream file("/proc/" + std::to_string(this->process.processId()) + "/status");
    std::string field;
    uint64_t kibibytes = 0;
    while (file >> field) {
        if (field == "VmHWM:" && file >> kibibytes)
            break;
    }
    return kibibytes << 10;
}

double Process::processorSeconds() const
{
    std::ifstream file("/proc/" + std::to_string(this->process.processId()) + "/stat");
    std::string field;
    double ticks = 0;
    constexpr int userField = 14;
    constexpr int systemField = 15;
    for (int number = 1; number <= systemField && file >> field; ++number) {
        if (number >= userField)
            ticks += std::stod(field);
    }
    return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

Finished runToEnd(const std::string& program, const QStringList& arguments, std::chrono::milliseconds timeout)
{
    QProcess process;
    process.start(QString::fromStdString(std::string(BUILD_FOLDER) + "/" + program), arguments);
    const bool ended = process.waitForFinished(static_cast<int>(timeout.count()));
    Finished finished;
    if (ended && process.exitStatus() == QProcess::NormalExit)
        finished.exitStatus = process.exitCode();
    finished.output = process.readAllStandardOutput().toStdString();
    finished.errors = process.readAllStandardError().toStdString();
    return finished;
}

}

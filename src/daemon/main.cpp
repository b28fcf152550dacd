// dragonflyd: the daemon. Each process is one entry instance.

#include "daemon/Daemon.h"
#include "daemon/ForwardingDaemon.h"
#include "daemon/SignalReader.h"

#include <QCoreApplication>
#include <boost/program_options.hpp>
#include <cstdlib>
#include <google/protobuf/stubs/logging.h>
#include <iostream>
#include <malloc.h>

namespace {

namespace options = boost::program_options;

constexpr const char* version = "dragonflyd 0.1.0";
constexpr int exitFailure = 1;
constexpr int exitUsage = 2;
/// Larger buffers return to the system when they are freed, instead of leaving gaps between others.
constexpr int maxHeapBufferBytes = 256 << 10;

/// Runs a daemon until it has drained. @p signals is the descriptor of the signals that were
/// blocked at @p signalsOpenedAt.
template <typename DaemonType>
int runDaemon(
    const dragonfly::daemon::Settings& settings, int signals, dragonfly::BootClock::time_point signalsOpenedAt)
{
    dragonfly::observe::startLog(settings.instance);
    // Refused messages and records are counted; the library's lines on them could block the process.
    google::protobuf::SetLogHandler(nullptr);
    DaemonType daemon(settings);
    const auto started = daemon.start();
    if (const auto* error = dragonfly::errorOf(started)) {
        std::cerr << "dragonflyd: " << error->detail << "\n";
        return exitFailure;
    }
    dragonfly::daemon::SignalReader reader(signals, signalsOpenedAt);
    reader.onTerminate = [&daemon](dragonfly::BootClock::time_point lastLook) { daemon.drain(lastLook); };
    reader.onHangUp = [&daemon] { daemon.reload(); };
    reader.onStall = [&daemon](std::chrono::nanoseconds gap) { daemon.recordStall(gap); };
    reader.start(dragonfly::daemon::signalLookIntervalFor(settings.drain));
    const int status = QCoreApplication::exec();
    std::cout.flush();
    // The destructors would wait for the server of the metrics, which looks for its end every 2 s.
    std::_Exit(status);
}

}

int main(int argc, char** argv)
{
    mallopt(M_MMAP_THRESHOLD, maxHeapBufferBytes);
    std::string file;
    options::options_description description("dragonflyd --settings FILE");
    description.add_options()("settings", options::value(&file)->value_name("FILE"),
        "YAML file with this instance's settings")("check", "check the settings and exit")(
        "version", "print the version and exit")("help", "print this help and exit");
    options::variables_map variables;
    try {
        options::store(options::parse_command_line(argc, argv, description), variables);
        options::notify(variables);
    } catch (const options::error& failure) {
        std::cerr << "dragonflyd: " << failure.what() << "\n" << description;
        return exitUsage;
    }
    if (variables.count("help")) {
        std::cout << description;
        return 0;
    }
    if (variables.count("version")) {
        std::cout << version << "\n";
        return 0;
    }
    if (file.empty()) {
        std::cerr << "dragonflyd: --settings FILE is required\n";
        return exitUsage;
    }
    const auto loaded = dragonfly::daemon::loadSettings(file);
    for (const auto& problem : loaded.problems)
        std::cerr << toString(problem) << "\n";
    if (!loaded.problems.empty())
        return exitUsage;
    if (variables.count("check")) {
        std::cout << file << ": ok\n";
        return 0;
    }
    const auto signalsOpenedAt = dragonfly::BootClock::now();
    const int signals = dragonfly::daemon::openSignalDescriptor();
    // Qt's own event dispatcher polls sockets directly, which costs less than polling through GLib.
    qputenv("QT_NO_GLIB", "1");
    const QCoreApplication application(argc, argv);
    if (loaded.settings.interface == dragonfly::daemon::Interface::Forwarding)
        return runDaemon<dragonfly::daemon::ForwardingDaemon>(loaded.settings, signals, signalsOpenedAt);
    return runDaemon<dragonfly::daemon::Daemon>(loaded.settings, signals, signalsOpenedAt);
}

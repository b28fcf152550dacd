// dragonflyd: the daemon. Each process is one entry instance.

#include "daemon/Daemon.h"
#include "daemon/ForwardingDaemon.h"

#include <QCoreApplication>
#include <QSocketNotifier>
#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>
#include <sys/signalfd.h>
#include <unistd.h>

namespace {

namespace options = boost::program_options;

constexpr const char* version = "dragonflyd 0.1.0";
constexpr int exitFailure = 1;
constexpr int exitUsage = 2;

/// Blocks SIGTERM, SIGINT and SIGHUP in this thread and all threads started later, and returns a descriptor from which
/// they are read.
int openSignalDescriptor()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
}

/// Runs a daemon until it has drained. @p signals is the descriptor of the blocked signals: they must be blocked before
/// the first thread starts.
template <typename DaemonType> int runDaemon(const dragonfly::daemon::Settings& settings, int signals)
{
    dragonfly::observe::startLog(settings.instance);
    DaemonType daemon(settings);
    const auto started = daemon.start();
    if (const auto* error = dragonfly::errorOf(started)) {
        std::cerr << "dragonflyd: " << error->detail << "\n";
        return exitFailure;
    }
    QSocketNotifier notifier(signals, QSocketNotifier::Read);
    QObject::connect(&notifier, &QSocketNotifier::activated, &daemon, [&daemon, signals] {
        signalfd_siginfo info;
        while (read(signals, &info, sizeof(info)) == sizeof(info)) {
            if (info.ssi_signo == SIGHUP)
                daemon.reload();
            else
                daemon.drain();
        }
    });
    return QCoreApplication::exec();
}

}

int main(int argc, char** argv)
{
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
    const int signals = openSignalDescriptor();
    // Qt's own event dispatcher polls sockets directly, which costs less than polling through GLib.
    qputenv("QT_NO_GLIB", "1");
    const QCoreApplication application(argc, argv);
    if (loaded.settings.interface == dragonfly::daemon::Interface::Forwarding)
        return runDaemon<dragonfly::daemon::ForwardingDaemon>(loaded.settings, signals);
    return runDaemon<dragonfly::daemon::Daemon>(loaded.settings, signals);
}

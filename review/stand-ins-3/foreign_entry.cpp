// Case: an entry of another writer, without the field seq, names an engine that drains.

#include "site.h"

using namespace lab;

int main(int argc, char** argv)
{
    if (argc != 2)
        cannotRun("expected the folder of the case");
    Record record(std::string(argv[1]) + "/record.txt");
    const auto folder = temporaryFolder();
    Store store;
    store.put("op/config", deskConfig(7));
    Runs runs;
    Desk leaving("i-7f3a91c2", "zone1-a", store, record, runs);
    Desk second("i-02d9e6b4", "zone2-a", store, record, runs);
    Desk third("i-55c01b7e", "zone3-a", store, record, runs);
    Machine first("edge-zone1-a-1", "zone1-a", store, folder);
    Machine other("edge-zone2-a-1", "zone2-a", store, folder);
    first.waitUntilReady();
    other.waitUntilReady();
    Clients clients({ &first, &other }, record, 30, milliseconds(60));
    std::this_thread::sleep_for(std::chrono::seconds(6));

    leaving.drain();
    const double drainedAt = record.seconds();
    record.line("the store has accepted that " + leaving.id + " is draining");
    // The engine serves for drain_ms and a little longer.
    std::this_thread::sleep_for(milliseconds(drainMs));
    leaving.waitForReport();
    std::this_thread::sleep_for(milliseconds(100));
    if (!isCalm()) {
        store.put("servers/" + leaving.id, leaving.entry("", "ready"));
        record.line("another writer has written servers/" + leaving.id + ": " + leaving.entry("", "ready"));
    }
    std::this_thread::sleep_for(milliseconds(1000));
    leaving.leave();
    record.line(leaving.id + " has left");
    std::this_thread::sleep_for(milliseconds(3000));
    const auto answers = clients.finish();

    size_t served = 0;
    std::map<std::string, int> statusOf;
    for (const auto& answer : answers) {
        served += answer.status == 200;
        statusOf[answer.id] = answer.status;
    }
    int late = 0;
    int lost = 0;
    const std::lock_guard lock(runs.mutex);
    for (const auto& run : runs.all) {
        if (run.engine != leaving.id || run.at <= drainedAt + drainMs / 1000.0)
            continue;
        ++late;
        lost += run.isCut && statusOf[run.id] != 200;
        record.line("BROKEN DRAIN: " + run.id + " ran at " + run.engine + " "
            + std::to_string(run.at - drainedAt) + " s after the acknowledgement"
            + (run.isCut ? ", cut off by its end, the client got " + std::to_string(statusOf[run.id]) : ""));
    }
    const auto summary = std::to_string(answers.size()) + " bookings, " + std::to_string(served) + " served; "
        + std::to_string(late) + " reached the draining engine later than " + std::to_string(drainMs)
        + " ms after the acknowledgement, " + std::to_string(lost) + " of them were cut off and lost";
    record.line(summary);
    std::cout << summary << std::endl;
    first.end(SIGKILL);
    other.end(SIGKILL);
    if (served * 2 < answers.size() || answers.size() < 100)
        finish(folder, exitCannotRun);
    finish(folder, late ? exitBroken : exitHeld);
}

// Case: an engine sends bytes late, after a complete refusal, at the point where the next answer on the connection is
// expected: a second copy of the refusal, cut off within its head. Its answer to the next request follows.

#include "site.h"

using namespace lab;

namespace {

constexpr double longest = 5.0; ///< s, for_s of the site's garble of the variant "extra late"
constexpr double largestShare = 0.03; ///< of the engine's answers, x of the same

/// The fault of one engine. The bytes that it sends belong to no request.
class LateCopies {
public:
    explicit LateCopies(Record& record)
        : record(record)
    {
    }
    std::string spoil(const Connection* connection, const std::string& answer)
    {
        const std::lock_guard lock(this->mutex);
        const bool isOn = this->record.seconds() >= this->from && this->record.seconds() < this->from + longest;
        this->answers += isOn;
        const auto refusal = std::exchange(this->refusals[connection->number], "");
        constexpr auto refused = "HTTP/1.1 503 ";
        if (answer.compare(0, std::strlen(refused), refused) == 0)
            this->refusals[connection->number] = answer;
        const bool isDue = isOn && !refusal.empty() && answer.compare(0, std::strlen(refused), refused) != 0
            && this->copies + 1 <= largestShare * this->answers;
        if (!isDue)
            return answer;
        ++this->copies;
        const std::string field = "X-Dragonflyarch-Not-Executed: 1";
        const auto copy = refusal.substr(0, refusal.find(field) + field.size());
        this->record.line("the faulty engine sends " + std::to_string(copy.size()) + " bytes of a copy of its last "
            "refusal on a connection, and then its answer");
        return copy + answer;
    }
    double from = 1e9;
    int copies = 0;
    int answers = 0;

private:
    Record& record;
    std::mutex mutex;
    std::map<uint64_t, std::string> refusals; ///< the last answer on a connection if it was one
};

}

int main(int argc, char** argv)
{
    if (argc != 2)
        cannotRun("expected the folder of the case");
    Record record(std::string(argv[1]) + "/record.txt");
    const auto folder = temporaryFolder();
    Store store;
    store.put("op/config", deskConfig(7));
    Runs runs;
    Desk faulty("i-7f3a91c2", "zone1-a", store, record, runs);
    Desk second("i-02d9e6b4", "zone2-a", store, record, runs);
    Desk third("i-55c01b7e", "zone3-a", store, record, runs);
    for (auto* engine : { &faulty, &second, &third }) {
        engine->slots = 2;
        engine->queue = 2;
    }
    LateCopies fault(record);
    if (!isCalm())
        faulty.spoil = [&fault](const Connection* connection, const std::string& answer) {
            return fault.spoil(connection, answer);
        };
    Machine first("edge-zone1-a-1", "zone1-a", store, folder);
    Machine other("edge-zone2-a-1", "zone2-a", store, folder);
    first.waitUntilReady();
    other.waitUntilReady();
    Clients clients({ &first, &other }, record, 14, milliseconds(70));
    std::this_thread::sleep_for(std::chrono::seconds(5));
    fault.from = record.seconds();
    record.line(isCalm() ? "no fault" : "the engine " + faulty.id + " begins to send bytes late");
    std::this_thread::sleep_for(std::chrono::seconds(9));
    const auto answers = clients.finish();

    std::map<int, int> statuses;
    std::map<std::string, Answer> answerOf;
    for (const auto& answer : answers) {
        ++statuses[answer.status];
        answerOf[answer.id] = answer;
    }
    std::map<std::string, std::vector<Run>> runsOf;
    const std::lock_guard lock(runs.mutex);
    for (const auto& run : runs.all)
        runsOf[run.id].push_back(run);
    int twice = 0;
    int refused = 0;
    for (const auto& [id, all] : runsOf) {
        const auto status = answerOf[id].status;
        if (all.size() > 1) {
            ++twice;
            record.line("BROKEN TWICE: " + id + " ran at " + all[0].engine + " and at " + all[1].engine
                + ", the client got " + std::to_string(status) + " " + answerOf[id].body.substr(0, 60));
        }
        if (status == 503 || status == 429) {
            ++refused;
            record.line("BROKEN REFUSED: " + id + " ran at " + all[0].engine + ", the client got "
                + std::to_string(status));
        }
    }
    std::string summary = std::to_string(answers.size()) + " bookings, answered";
    for (const auto& [status, count] : statuses)
        summary += " " + std::to_string(status) + ": " + std::to_string(count) + ";";
    summary += " " + std::to_string(fault.copies) + " late copies among " + std::to_string(fault.answers)
        + " answers of the engine; " + std::to_string(twice) + " bookings ran twice, " + std::to_string(refused)
        + " ran and were refused as not run";
    record.line(summary);
    std::cout << summary << std::endl;
    first.end(SIGKILL);
    other.end(SIGKILL);
    if (answers.size() < 100 || statuses[200] * 2 < static_cast<int>(answers.size()))
        finish(folder, exitCannotRun);
    finish(folder, twice || refused ? exitBroken : exitHeld);
}

// The client of the platform's metadata store against answers of several eras of the store.

#include "platform/StoreClient.h"
#include "standins/Program.h"
#include "tests/support/EndlessTarget.h"
#include "tests/support/Process.h"
#include "tests/support/RawServer.h"

#include <QJsonArray>
#include <criterion/criterion.h>
#include <sstream>
#include <thread>

using namespace testing;
using namespace dragonfly;
using namespace std::chrono_literals;

namespace {

int argumentCount = 0;

/// Answers each call with the same status, body and era.
struct ScriptedStore {
    QCoreApplication application { argumentCount, nullptr };
    int status = 200;
    QJsonObject body;
    std::string era; ///< empty: no such header
    std::string lastTarget;
    std::string lastBody;
    std::function<void()> onAnswered; ///< called after each answer
    http::Server server { {}, [this](const http::ExchangePointer& exchange) {
                             this->lastTarget = exchange->request().target;
                             this->lastBody = exchange->request().body;
                             http::Headers headers;
                             if (!this->era.empty())
                                 headers.add("Store-Era", this->era);
                             exchange->respond(this->status, headers, standins::toJson(this->body));
                             if (this->onAnswered)
                                 this->onAnswered();
                         } };
    http::ClientPool pool;
    platform::StoreClient client { std::get<Endpoint>(this->server.listenShared({ "127.0.0.1", 0 })), &this->pool };

    void answer(const std::string& answeredEra, const QJsonObject& answeredBody, int answeredStatus = 200)
    {
        this->era = answeredEra;
        this->body = answeredBody;
        this->status = answeredStatus;
    }
    store::WatchResult watch(int64_t after, std::chrono::milliseconds wait = 0ms)
    {
        std::optional<store::WatchResult> result;
        this->client.watch("", after, Clock::now() + wait, Clock::now() + 2s,
            [&](const store::WatchResult& received) { result = received; });
        require(waitUntil([&] { return result.has_value(); }, 3s), "no result");
        return *result;
    }
    store::PageResult page(const std::string& after = "")
    {
        std::optional<store::PageResult> result;
        this->client.readPage(
            "k", after, Clock::now() + 2s, [&](const store::PageResult& received) { result = received; });
        require(waitUntil([&] { return result.has_value(); }, 3s), "no result");
        return *result;
    }
    store::CheckResult check(int64_t expected)
    {
        std::optional<store::CheckResult> result;
        this->client.checkRevision(
            "k", expected, Clock::now() + 2s, [&](const store::CheckResult& received) { result = received; });
        require(waitUntil([&] { return result.has_value(); }, 3s), "no result");
        return *result;
    }
};

const QJsonObject emptyChanges { { "events", QJsonArray() }, { "current_rev", 7 } };

}

Test(revision, risesWithTheEraAndKeepsItsPlaceWithinIt)
{
    const auto former = store::revisionInEra(1, 900);
    const auto later = store::revisionInEra(2, 3);
    cr_assert_gt(later, former);
    cr_assert_eq(store::eraOf(later), 2);
    cr_assert_eq(store::revisionWithinEra(later), 3);
    cr_assert_eq(store::revisionInEra(2, 0), 0, "0 names no content");
    cr_assert_eq(store::revisionInEra(0, 900), 900);
    cr_assert_lt(store::revisionInEra(store::maxEra, 900), int64_t { 1 } << 53);
}

Test(storeClient, watchAcrossAReturnOfTheStoreHasNoHistory)
{
    ScriptedStore store;
    store.answer("3", emptyChanges);
    const auto same = store.watch(store::revisionInEra(3, 6));
    cr_assert_eq(std::get<store::Changes>(same).revision, store::revisionInEra(3, 7));
    cr_assert(store.lastTarget.find("after=6&") != std::string::npos, "%s", store.lastTarget.c_str());
    cr_assert(std::holds_alternative<store::HistoryGone>(store.watch(store::revisionInEra(2, 6))));
    cr_assert(std::holds_alternative<store::HistoryGone>(store.watch(store::revisionInEra(1, 6))));
    cr_assert(std::holds_alternative<store::StoreFailure>(store.watch(store::revisionInEra(4, 6))));
}

Test(storeClient, answerWithoutChangesThatIsReadLateIsNotDatedLaterThanItWasComposed, .timeout = 20)
{
    ScriptedStore store;
    store.answer("1", { { "events", QJsonArray {} }, { "current_rev", 6 } });
    BootClock::time_point composedAt;
    store.onAnswered = [&] {
        composedAt = BootClock::now();
        std::this_thread::sleep_for(400ms); // the client reads the answer after the end of its wait
    };
    const auto changes = std::get<store::Changes>(store.watch(store::revisionInEra(1, 6), 200ms));
    const auto late = std::chrono::duration_cast<std::chrono::milliseconds>(changes.asOf - composedAt);
    cr_expect_leq(late.count(), 0, "dated %lld ms after it was composed", static_cast<long long>(late.count()));
}

Test(storeClient, reusedRevisionIsNotTakenForUnchanged)
{
    ScriptedStore store;
    store.answer("2", { { "revision", 9 } });
    cr_assert(std::holds_alternative<store::Unchanged>(store.check(store::revisionInEra(2, 5))));
    cr_assert(store.lastBody.find("\"revision\":5") != std::string::npos, "%s", store.lastBody.c_str());
    cr_assert(std::holds_alternative<store::HistoryGone>(store.check(store::revisionInEra(1, 5))));
    cr_assert(std::holds_alternative<store::StoreFailure>(store.check(store::revisionInEra(3, 5))));
    const QJsonArray items { QJsonObject { { "key", "k" }, { "value", "" }, { "revision", 4 } } };
    store.answer("2", { { "items", items } }, 412);
    const auto conflict = std::get<store::Conflict>(store.check(store::revisionInEra(1, 5)));
    cr_assert_eq(conflict.current.modRevision, store::revisionInEra(2, 4));
}

Test(storeClient, answerWithoutAReadableEraIsNoAnswerOfTheStore)
{
    ScriptedStore store;
    for (const auto* era : { "", "x", "-1", "1.5", "99999999999" }) {
        store.answer(era, emptyChanges);
        cr_assert(std::holds_alternative<store::StoreFailure>(store.watch(store::revisionInEra(1, 6))), "%s", era);
    }
    store.answer("", {}, 503);
    cr_assert_eq(
        std::get<store::StoreFailure>(store.watch(store::revisionInEra(1, 6))), store::StoreFailure::NotExecuted);
    store.answer("", emptyChanges);
    cr_assert_eq(std::get<store::Changes>(store.watch(6)).revision, 7, "a store that counts no eras");
}

Test(storeClient, answerCutShortIsUnknown, .timeout = 60)
{
    const QCoreApplication application(argumentCount, nullptr);
    const std::string body = R"({"revision":9,"current_rev":9,"lease":4,"ttl_ms":5000,"items":[],"truncated":false})";
    std::ostringstream size;
    size << std::hex << body.size();
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
    const std::vector<std::string> wholes { head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
        head + "Transfer-Encoding: chunked\r\n\r\n" + size.str() + "\r\n" + body + "\r\n0\r\n\r\n",
        head + "\r\n" + body };
    for (const auto& whole : wholes) {
        std::vector<RawAnswer> answers;
        for (size_t length = 0; length < whole.size(); ++length)
            answers.push_back({ whole.substr(0, length), length % 2 ? Ending::Close : Ending::Reset });
        const RawServer server(answers);
        http::ClientPool pool;
        platform::StoreClient client(server.address(), &pool);
        for (size_t length = 0; length < whole.size(); ++length) {
            std::optional<store::StoreFailure> failure;
            bool ended = false;
            const auto end = [&](const auto& result) {
                ended = true;
                if (const auto* found = std::get_if<store::StoreFailure>(&result))
                    failure = *found;
            };
            const auto deadline = Clock::now() + 2s;
            switch (length % 3) {
            case 0:
                client.readPage("k", "", deadline, end);
                break;
            case 1:
                client.put("k", "v", 0, deadline, end);
                break;
            default:
                client.grantLease(5s, deadline, end);
            }
            require(waitUntil([&] { return ended; }, 3s), "no result");
            cr_expect(failure.has_value(), "a result after \"%s\"", whole.substr(0, length).c_str());
            if (failure)
                cr_expect_eq(*failure, store::StoreFailure::Unknown);
        }
    }
}

namespace {

QJsonObject pageOf(const QJsonValue& items, bool isTruncated = false)
{
    return { { "items", items }, { "truncated", isTruncated }, { "current_rev", 9 } };
}

QJsonObject itemOf(const QString& key, const QJsonValue& revision = 4, const QJsonValue& value = "dg==")
{
    return { { "key", key }, { "value", value }, { "revision", revision } };
}

}

Test(storeClient, itemThatCannotBeReadLeavesTheOthersReadable)
{
    ScriptedStore store;
    for (const auto& odd : { QJsonValue(), QJsonValue(1), QJsonValue("k1"), QJsonValue(QJsonArray {}),
             QJsonValue(QJsonObject {}), QJsonValue(QJsonObject { { "key", 1 }, { "revision", 4 } }),
             QJsonValue(itemOf("")), QJsonValue(itemOf(QString(QChar(0xd800)))), QJsonValue(itemOf("k9", QJsonValue())),
             QJsonValue(itemOf("k9", "4")), QJsonValue(itemOf("k9", -4)), QJsonValue(itemOf("k9", 0)),
             QJsonValue(itemOf("k9", 1.5)), QJsonValue(itemOf("k9", 1e300)), QJsonValue(itemOf("k9", 1e13)) }) {
        store.answer("1", pageOf(QJsonArray { itemOf("k1"), odd, itemOf("k2") }));
        const auto result = store.page();
        const auto& page = std::get<store::Page>(result);
        cr_expect_eq(page.pairs.size(), 2);
        cr_expect_eq(page.pairs.back().key, "k2");
        const QJsonArray events { odd, itemOf("k3") };
        store.answer("1", { { "events", events }, { "current_rev", 9 } });
        const auto changes = std::get<store::Changes>(store.watch(store::revisionInEra(1, 3)));
        cr_expect_eq(changes.changes.size(), 1);
        cr_expect_eq(changes.revision, store::revisionInEra(1, 9));
    }
}

Test(storeClient, valueThatCannotBeReadIsEmpty)
{
    ScriptedStore store;
    for (const auto& odd : { QJsonValue("no base64!"), QJsonValue("dg="), QJsonValue("d"), QJsonValue(1), QJsonValue(),
             QJsonValue(QJsonObject {}) }) {
        store.answer("1", pageOf(QJsonArray { itemOf("k1", 4, odd), itemOf("k2") }));
        const auto result = store.page();
        const auto& page = std::get<store::Page>(result);
        cr_assert_eq(page.pairs.size(), 2);
        cr_expect_eq(page.pairs[0].value, "");
        cr_expect_eq(page.pairs[1].value, "v");
    }
}

Test(storeClient, nextPageStartsAfterAKeyThatCanBeRead)
{
    ScriptedStore store;
    store.answer("1", pageOf(QJsonArray { itemOf("k1"), itemOf("k2"), QJsonObject {} }, true));
    const auto result = store.page("k0");
    const auto& page = std::get<store::Page>(result);
    cr_assert(page.hasMore);
    cr_expect_eq(page.pairs.back().key, "k2");
    // A key that was changed on its way, as one that is no text, has another place in the order.
    store.answer("1", pageOf(QJsonArray { itemOf("k1"), itemOf("k2"), itemOf("k") }, true));
    const auto disordered = store.page("k0");
    cr_expect_eq(std::get<store::Page>(disordered).pairs.back().key, "k2");
    for (const auto& items :
        { QJsonArray {}, QJsonArray { QJsonObject {} }, QJsonArray { itemOf("k0") }, QJsonArray { itemOf("k") } }) {
        store.answer("1", pageOf(items, true));
        cr_expect(std::holds_alternative<store::StoreFailure>(store.page("k0")), "the same page would be read again");
    }
}

Test(storeClient, answerWithoutAListOrARevisionIsNoAnswerOfTheStore)
{
    ScriptedStore store;
    for (const auto& items : { QJsonValue(QJsonObject {}), QJsonValue(1), QJsonValue("x"), QJsonValue(true) }) {
        store.answer("1", pageOf(items));
        cr_expect(std::holds_alternative<store::StoreFailure>(store.page()));
        store.answer("1", { { "events", items }, { "current_rev", 9 } });
        cr_expect(std::holds_alternative<store::StoreFailure>(store.watch(store::revisionInEra(1, 3))));
    }
    for (const auto& revision :
        { QJsonValue(), QJsonValue("9"), QJsonValue(-9), QJsonValue(1.5), QJsonValue(1e300), QJsonValue(1e13) }) {
        store.answer("1", { { "items", QJsonArray {} }, { "current_rev", revision } });
        cr_expect(std::holds_alternative<store::StoreFailure>(store.page()));
        store.answer("1", { { "events", QJsonArray {} }, { "current_rev", revision } });
        cr_expect(std::holds_alternative<store::StoreFailure>(store.watch(store::revisionInEra(1, 3))));
    }
}

Test(storeClient, grantWithoutALeaseOrARevisionIsUnknown)
{
    ScriptedStore store;
    for (const auto& number : { QJsonValue(), QJsonValue(0), QJsonValue(-4), QJsonValue("4"), QJsonValue(1.5),
             QJsonValue(1e300), QJsonValue(QJsonArray {}) }) {
        store.answer("1", { { "lease", number }, { "revision", number }, { "ttl_ms", 5000 } });
        std::optional<store::LeaseResult> granted;
        store.client.grantLease(5s, Clock::now() + 2s, [&](const store::LeaseResult& received) { granted = received; });
        require(waitUntil([&] { return granted.has_value(); }, 3s), "no result");
        cr_expect(std::holds_alternative<store::StoreFailure>(*granted), "a key of no lease would never be removed");
        std::optional<store::SwapResult> swapped;
        store.client.compareAndSwap(
            "k", 0, "v", Clock::now() + 2s, [&](const store::SwapResult& received) { swapped = received; });
        require(waitUntil([&] { return swapped.has_value(); }, 3s), "no result");
        cr_expect(std::holds_alternative<store::StoreFailure>(*swapped));
    }
}

Test(storeClient, answerWithoutEndIsGivenUpAfterABoundedAmount, .timeout = 60)
{
    constexpr size_t most = 20u << 20; // a bound of 8 MiB, and what the sockets hold
    const QCoreApplication application(argumentCount, nullptr);
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string hundredMiB = std::to_string(100 << 20);
    const std::vector<EndlessAnswer> answers { { head + "\r\n{\"items\":[", "{}," },
        { head + "Content-Length: " + hundredMiB + "\r\n\r\n{\"items\":[", "{}," },
        { head + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + std::string(1024, ' ') + "\r\n" } };
    for (const auto& answer : answers) {
        EndlessTarget server([&answer](const std::string&) { return answer; });
        http::ClientPool pool;
        platform::StoreClient client(server.address(), &pool);
        const auto deadline = Clock::now() + 20s;
        std::optional<store::PageResult> page;
        std::optional<store::WatchResult> watch;
        client.readPage("", "", deadline, [&](const store::PageResult& result) { page = result; });
        client.watch("", 1, Clock::now(), deadline, [&](const store::WatchResult& result) { watch = result; });
        cr_assert(waitUntil([&] { return page && watch && server.arrivals() == 2 && !server.sending(); }, 10s));
        cr_expect_lt(server.mostBytes(), most, "took %zu bytes", server.mostBytes());
        cr_expect(std::holds_alternative<store::StoreFailure>(*page));
        cr_expect(std::holds_alternative<store::HistoryGone>(*watch), "changes that never fit are asked for again");
    }
}

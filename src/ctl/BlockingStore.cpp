#include "ctl/BlockingStore.h"

#include <QEventLoop>

namespace dragonfly::ctl {

namespace {

    constexpr std::chrono::milliseconds callTimeout { 3000 };
    constexpr int statusOk = 200;

    /// Runs an event loop until the call that @p startCall starts has completed.
    template <typename Outcome, typename StartCall> Outcome await(StartCall startCall)
    {
        QEventLoop loop;
        std::optional<Outcome> outcome;
        startCall([&](Outcome result) {
            outcome = std::move(result);
            loop.quit();
        });
        if (!outcome)
            loop.exec();
        return std::move(*outcome);
    }

}

BlockingStore::BlockingStore(store::KeyValueStore& store)
    : store(store)
{
}

store::ReadResult BlockingStore::read(const std::vector<store::ReadRequest>& ranges)
{
    return await<store::ReadResult>([&](auto done) { this->store.read(ranges, Clock::now() + callTimeout, done); });
}

store::SwapResult BlockingStore::compareAndSwap(const std::string& key, int64_t expected, const std::string& value)
{
    return await<store::SwapResult>(
        [&](auto done) { this->store.compareAndSwap(key, expected, value, Clock::now() + callTimeout, done); });
}

store::WriteResult BlockingStore::put(const std::string& key, const std::string& value)
{
    return await<store::WriteResult>(
        [&](auto done) { this->store.put(key, value, 0, Clock::now() + callTimeout, done); });
}

Result<std::string> fetch(const Endpoint& endpoint, const std::string& path)
{
    http::ClientPool pool;
    auto body = std::make_shared<std::string>();
    auto status = std::make_shared<int>(0);
    return await<Result<std::string>>([&](std::function<void(Result<std::string>)> done) {
        http::CallEvents events;
        events.onHead = [status](const http::ResponseHead& head) { *status = head.status; };
        events.onBody = [body](std::string_view bytes) { body->append(bytes); };
        events.onComplete = [body, status, done] {
            if (*status == statusOk)
                done(*body);
            else
                done(Error { ErrorKind::TargetFailed, "status " + std::to_string(*status), Execution::Unknown, {} });
        };
        events.onFailure = [done](const http::CallFailure& failure) {
            done(Error { ErrorKind::TargetFailed, failure.detail, Execution::Unknown, {} });
        };
        const auto deadline = Clock::now() + callTimeout;
        pool.send(endpoint, { "GET", path, {}, {} }, { deadline, deadline, false }, std::move(events));
    });
}

}

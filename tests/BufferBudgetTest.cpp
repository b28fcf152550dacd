// The bound of what all buffers hold together.

#include "base/BufferBudget.h"
#include "tests/support/Process.h"
#include "tests/support/Site.h"

#include <QCoreApplication>
#include <criterion/criterion.h>
#include <map>
#include <optional>

using namespace testing;
using namespace dragonfly;
using namespace std::chrono_literals;

namespace {

/// Buffers by name, of which each is released when it is given up.
struct Buffers {
    explicit Buffers(size_t limit)
        : budget(limit)
    {
    }

    void resize(const std::string& name, size_t bytes)
    {
        auto found = this->shares.find(name);
        if (found == this->shares.end())
            found = this->shares.emplace(name, BufferShare(this->budget, [this, name] { this->giveUp(name); })).first;
        found->second.set(bytes);
    }
    void giveUp(const std::string& name)
    {
        this->givenUp.push_back(name);
        this->shares.erase(name);
    }

    int argumentCount = 0;
    QCoreApplication application { argumentCount, nullptr };
    BufferBudget budget;
    std::map<std::string, BufferShare> shares;
    std::vector<std::string> givenUp;
};

}

Test(bufferBudget, buffersWithinTheLimitAreKept)
{
    Buffers buffers(100);
    buffers.resize("a", 60);
    buffers.resize("b", 40);
    runFor(20ms);
    cr_assert(buffers.givenUp.empty());
    cr_assert_eq(buffers.budget.used(), 100u);
}

Test(bufferBudget, largestBufferIsGivenUpWhenASmallOnePassesTheLimit)
{
    Buffers buffers(100);
    buffers.resize("large", 60);
    buffers.resize("medium", 30);
    buffers.resize("small", 11);
    runFor(20ms);
    cr_assert_eq(buffers.givenUp, std::vector<std::string> { "large" });
    cr_assert_eq(buffers.budget.used(), 41u);
}

Test(bufferBudget, buffersAreGivenUpUntilTheRestFits)
{
    Buffers buffers(100);
    for (const auto& [name, bytes] : std::map<std::string, size_t> { { "a", 90 }, { "b", 80 }, { "c", 70 } })
        buffers.resize(name, bytes);
    runFor(20ms);
    cr_assert_eq(buffers.givenUp, std::vector<std::string>({ "a", "b" }));
    cr_assert_eq(buffers.budget.used(), 70u);
}

Test(bufferBudget, bufferThatGrowsIsNotGivenUpFromWithinItsOwnGrowth)
{
    Buffers buffers(100);
    buffers.resize("a", 101);
    cr_assert(buffers.givenUp.empty());
    runFor(20ms);
    cr_assert_eq(buffers.givenUp, std::vector<std::string> { "a" });
}

Test(bufferBudget, bufferThatShrinksInTimeIsKept)
{
    Buffers buffers(100);
    buffers.resize("a", 101);
    buffers.resize("a", 10);
    runFor(20ms);
    cr_assert(buffers.givenUp.empty());
    cr_assert_eq(buffers.budget.used(), 10u);
}

Test(bufferBudget, movedShareCountsOnceAndIsReleasedOnce)
{
    Buffers buffers(100);
    {
        BufferShare first(buffers.budget, [] {});
        first.set(30);
        auto second = std::move(first);
        cr_assert_eq(buffers.budget.used(), 30u);
        BufferShare third(buffers.budget, [] {});
        third.set(20);
        third = std::move(second);
        cr_assert_eq(buffers.budget.used(), 30u);
        cr_assert_eq(third.bytes(), 30u);
    }
    cr_assert_eq(buffers.budget.used(), 0u);
}

Test(bufferBudget, holderThatKeepsItsBytesDoesNotStallTheEventLoop)
{
    Buffers buffers(100);
    int calls = 0;
    BufferShare stubborn(buffers.budget, [&calls] { ++calls; });
    stubborn.set(200);
    runFor(20ms);
    cr_assert_eq(calls, 1);
}

Test(bufferBudget, limitIsEnforcedOnceWhenItIsEnforcedBeforeTheEventLoopRuns)
{
    Buffers buffers(100);
    buffers.resize("a", 90);
    buffers.resize("b", 80);
    buffers.budget.enforce();
    cr_assert_eq(buffers.givenUp, std::vector<std::string> { "a" });
    runFor(20ms);
    cr_assert_eq(buffers.givenUp.size(), 1u);
}

Test(bufferBudget, limitHoldsAgainAfterItWasEnforced)
{
    Buffers buffers(100);
    for (const auto* name : { "a", "b", "c" }) {
        buffers.resize(name, 101);
        runFor(20ms);
    }
    cr_assert_eq(buffers.givenUp, std::vector<std::string>({ "a", "b", "c" }));
}

Test(bufferBudget, smallOnesWithoutProgressAreGivenUpBeforeALargeOneThatHasJustArrived)
{
    const Application application;
    BufferBudget budget(1000, GiveUpOrder::LargestByTime);
    std::vector<std::string> givenUp;
    const auto now = Clock::now();
    std::vector<BufferShare> small;
    for (int i = 0; i < 10; ++i) {
        small.emplace_back(budget, [&, i] {
            givenUp.push_back("small");
            small[static_cast<size_t>(i)] = {};
        });
        small.back().set(90, now - 10s);
    }
    BufferShare large(budget, [&] { givenUp.emplace_back("large"); });
    large.set(300, now);
    budget.enforce();
    cr_assert_eq(givenUp, std::vector<std::string>(3, "small"));
}

Test(bufferBudget, pinnedBytesCountAndAreNotGivenUp)
{
    const Application application;
    BufferBudget budget(1000, GiveUpOrder::LargestByTime);
    int calls = 0;
    BufferShare pinned(budget, [&calls] { ++calls; });
    pinned.pin(1100);
    budget.enforce();
    cr_assert_eq(calls, 0);
    cr_assert_eq(budget.used(), 1100u);
    BufferShare other(budget, [&other, &calls] {
        ++calls;
        other = {};
    });
    other.set(10);
    budget.enforce();
    cr_assert_eq(calls, 1);
}

Test(bufferBudget, pinnedBytesLeaveRoomForSmallerOnes)
{
    const Application application;
    BufferBudget budget(1000);
    BufferShare share(budget, [] {});
    cr_expect(budget.mayPin(500));
    cr_expect_not(budget.mayPin(501));
    size_t pinned = 0;
    for (size_t bytes : { 500, 100, 50, 50, 20 }) {
        cr_expect(budget.mayPin(bytes), "%zu beside %zu", bytes, pinned);
        pinned += bytes;
        share.pin(pinned);
    }
    cr_expect_not(budget.mayPin(50));
    cr_expect(budget.mayPin(10));
}

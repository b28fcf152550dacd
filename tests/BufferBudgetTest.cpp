// The bound of what all buffers hold together.

#include "base/BufferBudget.h"
#include "tests/support/Process.h"

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

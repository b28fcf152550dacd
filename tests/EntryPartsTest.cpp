// Unit tests of the request path: admission, retry budget, event stream parser, trace context and error table.

#include "entry/Admission.h"
#include "entry/EventStream.h"
#include "entry/RetryBudget.h"
#include "observe/Trace.h"

#include <criterion/criterion.h>

using namespace dragonfly;
using namespace dragonfly::entry;
using namespace std::chrono_literals;

namespace {

routing::Organisation organisation(uint32_t perSecond, uint32_t concurrent)
{
    routing::Organisation result;
    result.requestsPerSecond = perSecond;
    result.concurrentRequests = concurrent;
    result.state = std::make_shared<routing::OrganisationState>();
    return result;
}

}

Test(admission, admitsItsShareOfTheRateAndNoMore)
{
    const auto limited = organisation(100, 0);
    const routing::LimitShare share { 0.2 };
    const auto start = Clock::now();
    int admitted = 0;
    for (auto now = start; now < start + 10s; now += 2ms)
        admitted += !errorOf(admit(limited, share, now));
    cr_assert_leq(admitted, 20 * 10 + 20 + 1);
    cr_assert_geq(admitted, 20 * 10);
}

Test(admission, slotIsOccupiedUntilTheAdmissionIsDestroyed)
{
    const auto limited = organisation(0, 10);
    const routing::LimitShare share { 0.3 };
    std::vector<Result<Admission>> held;
    for (int i = 0; i < 3; ++i) {
        held.push_back(admit(limited, share, Clock::now()));
        cr_assert(!errorOf(held.back()));
    }
    const auto refused = admit(limited, share, Clock::now());
    cr_assert(errorOf(refused)->kind == ErrorKind::LimitExceeded);
    cr_assert(errorOf(refused)->execution == Execution::NotRun);
    held.pop_back();
    cr_assert(!errorOf(admit(limited, share, Clock::now())));
}

Test(retryBudget, allowsOneRetryPerTenInitialAttempts)
{
    RetryBudget budget;
    while (budget.tryAcquire()) { }
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.recordInitialAttempt();
        retries += budget.tryAcquire();
    }
    cr_assert_eq(retries, 100);
}

Test(retryBudget, initialBalanceCoversStreamsOfTwoLostTargets)
{
    // Twelve streams on three targets: the first failure interrupts four streams, the second eight. Each stream first
    // retries at a target that no longer listens, which must not count against the budget.
    RetryBudget budget;
    for (int i = 0; i < 12; ++i)
        budget.recordInitialAttempt();
    for (int lost = 0; lost < 12; ++lost) {
        cr_assert(budget.tryAcquire(), "after %d lost streams", lost);
        budget.refund();
        cr_assert(budget.tryAcquire(), "after %d lost streams", lost);
    }
    int remaining = 0;
    while (budget.tryAcquire())
        ++remaining;
    cr_assert_leq(12 + remaining, 21, "an attempt that was sent costs one retry");
}

Test(eventStream, parsesEventsFedByteByByte)
{
    EventStreamReader reader;
    const std::string bytes = ": comment\n\ndata: one\n\nevent: x\r\ndata: two\ndata: three\n\ndata: rest";
    std::vector<std::string> events;
    for (const char byte : bytes) {
        cr_assert(reader.feed(std::string_view(&byte, 1), [&](std::string_view data) {
            events.emplace_back(data);
            return true;
        }));
    }
    cr_assert_eq(events.size(), 2);
    cr_assert(events[0] == "one");
    cr_assert(events[1] == "two\nthree");
}

Test(eventStream, rejectsAnEventAboveTheSizeLimit)
{
    EventStreamReader reader;
    bool withinLimit = true;
    for (int i = 0; i < 100 && withinLimit; ++i)
        withinLimit = reader.feed(std::string(64 << 10, 'x'), [](std::string_view) { return true; });
    cr_assert(!withinLimit);
}

Test(trace, continuesTheCallersTraceparent)
{
    const auto context = observe::beginTrace("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", 0);
    cr_assert(context.sampled);
    cr_assert(context.traceId == "0af7651916cd43dd8448eb211c80319c");
    cr_assert(context.parentId == "b7ad6b7169203331");
    const auto child = observe::childOf(context);
    cr_assert(child.parentId == context.spanId);
    cr_assert(observe::toTraceparent(child).ends_with("-01"));
    cr_assert(!observe::beginTrace("nonsense", 0).sampled);
}

Test(errors, everyKindHasItsOwnTableEntry)
{
    for (int kind = 0; kind <= static_cast<int>(ErrorKind::Internal); ++kind)
        cr_assert_eq(static_cast<int>(answerFor(static_cast<ErrorKind>(kind)).kind), kind);
}

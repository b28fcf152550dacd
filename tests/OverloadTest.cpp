// An organisation that exceeds its rate limit does not increase the latency of others. The test has an executable of
// its own because it compares latencies.

#include "tests/support/Site.h"

#include <QTimer>
#include <algorithm>
#include <criterion/criterion.h>

using namespace testing;
using namespace std::chrono_literals;

namespace {

double percentile(std::vector<double> values, double share)
{
    std::sort(values.begin(), values.end());
    return values[static_cast<size_t>(share * static_cast<double>(values.size() - 1))];
}

/// Milliseconds to the first byte of @p count sequential requests.
std::vector<double> firstTokenTimes(Caller& caller, Site& site, int count)
{
    std::vector<double> times;
    for (int i = 0; i < count; ++i) {
        const auto answer
            = caller.complete(site.entry(0), "assistant", std::to_string(i) + std::string(8000, 'q'), 2, "first");
        cr_assert(waitFor(answer));
        cr_assert_eq(answer->status, 200);
        times.push_back(std::chrono::duration<double, std::milli>(answer->firstByteAt - answer->sentAt).count());
    }
    return times;
}

}

Test(overload, floodOfOneOrganisationKeepsTheTailLatencyOfOthers, .timeout = 120)
{
    const Application application;
    SiteOptions options;
    options.requestsPerSecond = 100;
    Site site(options);
    site.startEntry();
    Caller normalCaller(apiKey);
    Caller floodingCaller(otherApiKey);
    firstTokenTimes(normalCaller, site, 20);
    runFor(1s);
    const auto baseline = percentile(firstTokenTimes(normalCaller, site, 100), 0.99);
    bool flooding = true;
    std::vector<AnswerPointer> flood;
    QTimer timer;
    QObject::connect(&timer, &QTimer::timeout, [&] {
        for (int i = 0; flooding && i < 5; ++i)
            flood.push_back(floodingCaller.complete(site.entry(0), "assistant", std::string(2000, 'f'), 2, "flood"));
    });
    timer.start(10ms); // five times the limit
    runFor(1500ms); // until the burst that the limit allows is used up
    const auto duringFlood = percentile(firstTokenTimes(normalCaller, site, 100), 0.99);
    flooding = false;
    cr_assert(waitForAll(flood, 20s));
    const auto refused
        = std::count_if(flood.begin(), flood.end(), [](const auto& answer) { return answer->status == 429; });
    cr_assert_geq(refused, static_cast<std::ptrdiff_t>(flood.size() / 2));
    cr_assert_leq(duringFlood, baseline * 1.2, "the 99th percentile rose from %f ms to %f ms", baseline, duringFlood);
}

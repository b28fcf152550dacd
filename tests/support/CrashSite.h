#pragma once
// A forwarding site whose targets are ended by some requests, which come beside sound ones.

#include "tests/support/ForwardSite.h"

#include <QDateTime>
#include <algorithm>

namespace testing {

inline constexpr size_t instances = 3;
/// Stated target: this long after the counted crash, at most maxLateArrivals deadly requests reach targets.
inline constexpr std::chrono::milliseconds contactTime { 4000 };
inline constexpr int maxLateArrivals = 3;

struct SoundRequest {
    AnswerPointer answer;
    int64_t sentAt; ///< milliseconds since the Unix epoch
};

inline bool isServed(const AnswerPointer& answer)
{
    return answer->status == 200 && answer->whole;
}

inline bool isQuarantined(const AnswerPointer& answer)
{
    return answer->body.find("prompt_quarantined") != std::string::npos;
}

/// Tests derive from it, set up the targets and say what the requests are. All times are in milliseconds since the Unix
/// epoch.
class CrashSite {
public:
    /// @param countedCrash the number of the crash from which contactTime counts
    explicit CrashSite(size_t countedCrash)
        : countedCrash(countedCrash)
    {
    }
    virtual ~CrashSite() = default;
    CrashSite(const CrashSite&) = delete;
    CrashSite& operator=(const CrashSite&) = delete;

    /// Sends a deadly request to an instance. Answers are kept in deadly.
    AnswerPointer sendDeadly(size_t entry)
    {
        this->deadly.push_back(this->site.send(this->deadlyRequest(std::to_string(this->deadly.size())), entry));
        return this->deadly.back();
    }

    /// Sends 20 sound requests a second and, if @p withDeadly, 5 deadly ones, in turn to all instances.
    void play(std::chrono::milliseconds duration, bool withDeadly)
    {
        constexpr int soundPerDeadly = 4;
        const auto end = dragonfly::Clock::now() + duration;
        for (int tick = 0; dragonfly::Clock::now() < end; ++tick, runFor(std::chrono::milliseconds(50))) {
            this->sendSound();
            if (withDeadly && tick % soundPerDeadly == 0)
                this->sendDeadly(this->deadly.size() % this->site.entries.size());
        }
    }

    void waitForAnswers() const
    {
        std::vector<AnswerPointer> all = this->deadly;
        for (const auto& request : this->sound)
            all.push_back(request.answer);
        require(waitForAll(all, std::chrono::seconds(20)), "not all requests were answered");
    }

    /// The times that the targets report in @p field, in order.
    std::vector<int64_t> times(const char* field) const
    {
        std::vector<int64_t> found;
        for (const auto* processes : { &this->site.services, &this->site.engines }) {
            for (const auto& target : *processes) {
                for (const auto& time : control(target->address("control"))[QLatin1String(field)].toArray())
                    found.push_back(time.toInteger());
            }
        }
        std::sort(found.begin(), found.end());
        return found;
    }

    /// The time of the counted crash; of the last if there were fewer.
    int64_t countedFrom() const
    {
        const auto crashes = this->times("crashes");
        require(!crashes.empty(), "no target ended");
        return crashes[std::min(crashes.size(), this->countedCrash) - 1];
    }

    /// Deadly requests that reached targets later than contactTime after the counted crash and after @p notBefore.
    int lateArrivals(int64_t notBefore = 0) const
    {
        const auto counted = std::max(this->countedFrom(), notBefore) + contactTime.count();
        const auto arrivals = this->times("deadly_arrivals");
        return static_cast<int>(std::ranges::count_if(arrivals, [counted](int64_t time) { return time > counted; }));
    }

    int crashes() const
    {
        return static_cast<int>(this->times("crashes").size());
    }

    /// The share of the sound requests sent from @p begin to @p end that were served; 0 if there were none.
    double servedShare(int64_t begin, int64_t end) const
    {
        int sent = 0;
        int served = 0;
        for (const auto& request : this->sound) {
            if (request.sentAt < begin || request.sentAt >= end)
                continue;
            ++sent;
            served += isServed(request.answer);
        }
        return sent ? static_cast<double>(served) / sent : 0;
    }

    const Application application;
    ForwardSite site;
    std::vector<SoundRequest> sound;
    std::vector<AnswerPointer> deadly;

protected:
    /// @param number distinguishes the request from the others of its kind
    virtual ForwardRequestSpec soundRequest(const std::string& number) const = 0;
    virtual ForwardRequestSpec deadlyRequest(const std::string& number) const = 0;

    /// Starts instances until there are as many as the test takes. Call when the targets are set up.
    void startEntries()
    {
        while (this->site.entries.size() < instances)
            this->site.startEntry();
    }

private:
    void sendSound()
    {
        const auto entry = this->sound.size() % this->site.entries.size();
        this->sound.push_back({ this->site.send(this->soundRequest(std::to_string(this->sound.size())), entry),
            QDateTime::currentMSecsSinceEpoch() });
    }

    size_t countedCrash;
};

}

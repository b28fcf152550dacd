#pragma once
// Bounds what all buffers of one event loop hold together.
//
// A bound for each buffer is none for their sum, since other parties choose how many there are. When the sum passes the
// limit, buffers are given up until it fits: the largest, so that small ones are never affected by large ones, or those
// that have held most for longest, so that many small ones without progress do not affect a large one that has just
// arrived. What must be kept counts too, but is not given up.

#include "base/Base.h"

#include <QObject>
#include <algorithm>
#include <functional>
#include <memory>
#include <unordered_set>

namespace dragonfly {

namespace internal {

    struct BufferHolder {
        size_t bytes = 0; ///< that may be given up
        size_t pinnedBytes = 0;
        Clock::time_point since; ///< from when on `bytes` are held without progress
        std::function<void()> onExceeded;
    };

}

/// Which buffers are given up first.
enum class GiveUpOrder {
    Largest,
    LargestByTime, ///< by the product of their size and the time since their last progress
};

/// Used from one thread. Outlives its shares.
class BufferBudget : public QObject {
    Q_OBJECT
public:
    explicit BufferBudget(size_t limit, GiveUpOrder order = GiveUpOrder::Largest, QObject* parent = nullptr);

    /// The sum of all shares, in bytes.
    size_t used() const
    {
        return this->total;
    }
    /// Whether @p bytes more may be pinned: while what is pinned stays below half of the limit, or if they take at most
    /// half of the room in three quarters of it, so that there is some left for smaller ones and for what is not
    /// pinned.
    bool mayPin(size_t bytes) const
    {
        const auto room = [this](size_t limit) { return limit - std::min(limit, this->pinnedTotal); };
        return bytes <= std::max(room(this->limitBytes / 2), room(this->limitBytes / 4 * 3) / 2);
    }
    size_t limit() const
    {
        return this->limitBytes;
    }
    /// A lower limit is enforced when a buffer grows next.
    void setLimit(size_t limit)
    {
        this->limitBytes = limit;
    }
    /// Gives buffers up now if the sum has passed the limit, which otherwise follows from the event loop. To be called
    /// where any owner of a buffer may be ended.
    void enforce();

private:
    friend class BufferShare;
    void resize(internal::BufferHolder& holder, size_t bytes, size_t pinnedBytes);
    internal::BufferHolder* next(Clock::time_point now) const;

    size_t limitBytes;
    GiveUpOrder order;
    size_t total = 0; ///< Invariant: the sum of the bytes of all holders, pinned ones included
    size_t pinnedTotal = 0; ///< Invariant: the sum of their pinned bytes
    bool isEnforcementDue = false;
    std::unordered_set<internal::BufferHolder*> holders;
};

/// What one buffer holds of a budget. Destruction releases it.
class BufferShare {
public:
    /// Counts nowhere.
    BufferShare() = default;
    /// @param onExceeded gives the buffer up; called from the event loop, never from within set(), and may destroy the
    /// share
    BufferShare(BufferBudget& budget, std::function<void()> onExceeded);
    ~BufferShare();
    BufferShare(BufferShare&& other) noexcept;
    BufferShare& operator=(BufferShare&& other) noexcept;

    /// States the size of the buffer, capacity that is not in use included.
    void set(size_t bytes);
    /// States the size of what may be given up, and since when it makes no progress.
    void set(size_t bytes, Clock::time_point since);
    /// States the size of what is kept although it counts. Does not change what may be given up.
    void pin(size_t bytes);
    size_t bytes() const
    {
        return this->holder ? this->holder->bytes : 0;
    }

private:
    void release();

    BufferBudget* budget = nullptr;
    std::unique_ptr<internal::BufferHolder> holder; ///< null if the share counts nowhere
};

}

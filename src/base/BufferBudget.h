#pragma once
// Bounds what all buffers of one event loop hold together.
//
// A bound for each buffer is none for their sum, since other parties choose how many there are. When the sum passes the
// limit, the largest buffers are given up until it fits, so that small ones are never affected by large ones.

#include <QObject>
#include <functional>
#include <memory>
#include <unordered_set>

namespace dragonfly {

namespace internal {

    struct BufferHolder {
        size_t bytes = 0;
        std::function<void()> onExceeded;
    };

}

/// Used from one thread. Outlives its shares.
class BufferBudget : public QObject {
    Q_OBJECT
public:
    explicit BufferBudget(size_t limit, QObject* parent = nullptr);

    /// The sum of all shares, in bytes.
    size_t used() const
    {
        return this->total;
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
    void resize(internal::BufferHolder& holder, size_t bytes);
    internal::BufferHolder* largest() const;

    size_t limitBytes;
    size_t total = 0; ///< Invariant: the sum of the bytes of all holders
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

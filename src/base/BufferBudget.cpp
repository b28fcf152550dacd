#include "base/BufferBudget.h"

#include <algorithm>
#include <utility>

namespace dragonfly {

namespace {

    /// Buffers that are younger are compared by their size alone.
    constexpr std::chrono::duration<double> minAge = std::chrono::milliseconds(1);

}

BufferBudget::BufferBudget(size_t limit, GiveUpOrder order, QObject* parent)
    : QObject(parent)
    , limitBytes(limit)
    , order(order)
{
}

void BufferBudget::resize(internal::BufferHolder& holder, size_t bytes, size_t pinnedBytes)
{
    this->total += bytes + pinnedBytes - holder.bytes - holder.pinnedBytes;
    this->pinnedTotal += pinnedBytes - holder.pinnedBytes;
    holder.bytes = bytes;
    holder.pinnedBytes = pinnedBytes;
    if (this->total <= this->limitBytes || std::exchange(this->isEnforcementDue, true))
        return;
    QMetaObject::invokeMethod(this, &BufferBudget::enforce, Qt::QueuedConnection);
}

/// The holder that is given up next, or none.
internal::BufferHolder* BufferBudget::next(Clock::time_point now) const
{
    const auto cost = [this, now](const internal::BufferHolder* holder) {
        const std::chrono::duration<double> age = now - holder->since;
        const auto bytes = static_cast<double>(holder->bytes);
        return this->order == GiveUpOrder::Largest ? bytes : bytes * std::max(age.count(), minAge.count());
    };
    const auto found = std::ranges::max_element(this->holders, {}, cost);
    return found == this->holders.end() || !(*found)->bytes ? nullptr : *found;
}

void BufferBudget::enforce()
{
    this->isEnforcementDue = false;
    while (this->total > this->limitBytes) {
        auto* const holder = this->next(Clock::now());
        if (!holder)
            return;
        // A holder that keeps its bytes in spite of the callback must not be chosen for ever.
        this->total -= std::exchange(holder->bytes, 0);
        const auto onExceeded = holder->onExceeded; // a copy, since the call may destroy the holder
        onExceeded();
    }
}

BufferShare::BufferShare(BufferBudget& budget, std::function<void()> onExceeded)
    : budget(&budget)
    , holder(std::make_unique<internal::BufferHolder>())
{
    this->holder->onExceeded = std::move(onExceeded);
    budget.holders.insert(this->holder.get());
}

BufferShare::~BufferShare()
{
    this->release();
}

BufferShare::BufferShare(BufferShare&& other) noexcept
    : budget(std::exchange(other.budget, nullptr))
    , holder(std::move(other.holder))
{
}

BufferShare& BufferShare::operator=(BufferShare&& other) noexcept
{
    if (this == &other)
        return *this;
    this->release();
    this->budget = std::exchange(other.budget, nullptr);
    this->holder = std::move(other.holder);
    return *this;
}

void BufferShare::set(size_t bytes)
{
    if (this->holder)
        this->budget->resize(*this->holder, bytes, this->holder->pinnedBytes);
}

void BufferShare::set(size_t bytes, Clock::time_point since)
{
    if (this->holder)
        this->holder->since = since;
    this->set(bytes);
}

void BufferShare::pin(size_t bytes)
{
    if (this->holder)
        this->budget->resize(*this->holder, this->holder->bytes, bytes);
}

void BufferShare::release()
{
    if (!this->holder)
        return;
    this->budget->total -= this->holder->bytes + this->holder->pinnedBytes;
    this->budget->pinnedTotal -= this->holder->pinnedBytes;
    this->budget->holders.erase(this->holder.get());
    this->holder.reset();
}

}

#include "base/BufferBudget.h"

#include <algorithm>
#include <utility>

namespace dragonfly {

BufferBudget::BufferBudget(size_t limit, QObject* parent)
    : QObject(parent)
    , limitBytes(limit)
{
}

void BufferBudget::resize(internal::BufferHolder& holder, size_t bytes)
{
    this->total += bytes - holder.bytes;
    holder.bytes = bytes;
    if (this->total <= this->limitBytes || std::exchange(this->isEnforcementDue, true))
        return;
    QMetaObject::invokeMethod(this, &BufferBudget::enforce, Qt::QueuedConnection);
}

internal::BufferHolder* BufferBudget::largest() const
{
    const auto found = std::ranges::max_element(this->holders, {}, &internal::BufferHolder::bytes);
    return found == this->holders.end() ? nullptr : *found;
}

void BufferBudget::enforce()
{
    this->isEnforcementDue = false;
    while (this->total > this->limitBytes) {
        auto* const holder = this->largest();
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
        this->budget->resize(*this->holder, bytes);
}

void BufferShare::release()
{
    if (!this->holder)
        return;
    this->budget->total -= this->holder->bytes;
    this->budget->holders.erase(this->holder.get());
    this->holder.reset();
}

}

#include "entry/ViewHolder.h"

#include <urcu/urcu-memb.h>

namespace dragonfly::entry {

RcuReaderRegistration::RcuReaderRegistration()
{
    urcu_memb_register_thread();
}

RcuReaderRegistration::~RcuReaderRegistration()
{
    urcu_memb_unregister_thread();
}

ViewHolder::~ViewHolder()
{
    delete this->active;
}

routing::ViewPointer ViewHolder::current() const
{
    urcu_memb_read_lock();
    const auto* found = rcu_dereference(this->active);
    auto view = found ? *found : nullptr;
    urcu_memb_read_unlock();
    return view;
}

void ViewHolder::replace(routing::ViewPointer view)
{
    auto* next = new routing::ViewPointer(std::move(view));
    auto* previous = rcu_xchg_pointer(&this->active, next);
    urcu_memb_synchronize_rcu();
    delete previous;
}

}

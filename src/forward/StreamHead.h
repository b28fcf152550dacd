#pragma once
// Whether the head of an answer announces a stream of events.

#include "http/Message.h"

namespace dragonfly::forward {

/// Whether @p head announces a body of server-sent events. An answer that names no type is taken for one, since only
/// streaming routes ask.
bool isEventStream(const http::ResponseHead& head);

}

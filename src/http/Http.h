#pragma once
// HTTP/1.1 towards callers (Server) and towards targets and the platform (Client).

#include "http/Client.h"
#include "http/Message.h"
#include "http/Server.h"

#pragma once
// The HTTP/1.1 server for callers, and the HTTP/1.1 client for targets and the platform's service.

#include "http/Client.h"
#include "http/Message.h"
#include "http/Server.h"

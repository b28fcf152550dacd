#pragma once
// What the platform gives: its key-value service and the list of targets kept in it.

#include "platform/HttpStore.h"
#include "platform/KeyValueStore.h"

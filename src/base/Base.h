#pragma once
// Umbrella header of src/base, which every module uses: clocks, errors, endpoints and hashes.

#include "base/BootClock.h"
#include "base/Digest.h"
#include "base/Endpoint.h"
#include "base/Error.h"
#include "base/Time.h"

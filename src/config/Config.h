#pragma once
// Umbrella header: reading and validation of operators' configuration objects, and their published form.

#include "config/ObjectFiles.h"
#include "config/Publication.h"
#include "config/YamlReader.h"

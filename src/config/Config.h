#pragma once
// Operators' objects: reading and checking files, and the published form.

#include "config/ObjectFiles.h"
#include "config/Publication.h"
#include "config/YamlReader.h"

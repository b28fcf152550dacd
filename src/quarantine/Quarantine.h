#pragma once
// Finds out which shared parts of prompts, and which requests, crash the targets that begin to answer them, over all
// instances, and keeps requests with such parts and repetitions of such requests away from targets.

#include "quarantine/AnswerProgress.h"
#include "quarantine/PromptEvidence.h"
#include "quarantine/PromptQuarantine.h"
#include "quarantine/RequestIdentity.h"

/**
 * The scripts of this review. Each returns the exit code of its case.
 */
#pragma once

#include "support.h"

namespace review {

/** Case 11: a client that sends no Attempt-Id gets the late second copy of another client's answer. */
int foreignAnswer(const Surroundings &surroundings);
/** Case 12: requests of ordinary callers are cut off while a crowd uploads bodies of legal size. */
int cutOffCallers(const Surroundings &surroundings);
/** Case 13: what is kept of the prompts that engines have read takes more memory than the machine has. */
int longPartIds(const Surroundings &surroundings);
/** Case 14: requests of legal size with very many prompt parts take more memory than the machine has. */
int manyPromptParts(const Surroundings &surroundings);

}

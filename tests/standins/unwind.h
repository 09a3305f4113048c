// Ending routines of the event loop.
#pragma once
#include "loop/loop.h"

namespace hareshore::test {

// Turns the loop until routines that were cancelled have unwound.
void unwind(Loop& loop);

}  // namespace hareshore::test

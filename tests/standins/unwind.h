// Completes the cancellation of coroutines on an event loop.
#pragma once
#include "loop/loop.h"

namespace hareshore::test {

// Runs enough turns of the loop for all cancelled coroutines to unwind.
void unwind(Loop& loop);

}  // namespace hareshore::test

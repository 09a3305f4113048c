#include "standins/unwind.h"

namespace hareshore::test {

namespace {

constexpr int kTurns = 30;  // more than the deepest nesting of coroutines

}  // namespace

void unwind(Loop& loop) {
    for (int i = 0; i < kTurns; ++i) loop.turn(0);
}

}  // namespace hareshore::test

// The attempt of a gang that is under way: its tasks start together and share the attempt's number.
#pragma once
#include <cstdint>

namespace hareshore {

struct GangAttempt {
    uint64_t number = 0;
    bool started = false;  // a task of it has run: no replacement may join it any more
    bool broken = false;   // it has lost a task for good: the rest of it is stopped

    // No task of the attempt is left on any machine.
    void end() { started = broken = false; }
};

}  // namespace hareshore

// A gang's current attempt: its tasks start together and share the attempt's number.
#pragma once
#include <cstdint>

namespace hareshore {

struct GangAttempt {
    uint64_t number = 0;
    bool started = false;  // a task of it has run: no replacement task may join it any more
    bool broken = false;   // it has lost a task for good: its other tasks are stopped

    // Called when no task of the attempt is left on any machine.
    void reset() { started = broken = false; }
};

}  // namespace hareshore

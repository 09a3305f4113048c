// A gang's current attempt: its tasks start together and share the attempt's number.
#pragma once
#include <cstdint>

namespace hareshore {

// Whether the tasks of an attempt have started to run.
enum class GangStart : uint8_t {
    kNotStarted,
    kUnknown,  // the attempt was read from the record; no heartbeat has told yet
    kStarted,
};

struct GangAttempt {
    uint64_t number = 0;
    GangStart start = GangStart::kNotStarted;
    bool broken = false;  // it has lost a task for good: its other tasks are stopped

    [[nodiscard]] bool started() const { return start == GangStart::kStarted; }
    // Whether another task may still join the attempt, in place of one that it has lost.
    [[nodiscard]] bool accepts_replacements() const { return start == GangStart::kNotStarted && !broken; }
    // Called when no task of the attempt is left on any machine.
    void reset() {
        start = GangStart::kNotStarted;
        broken = false;
    }
};

}  // namespace hareshore

// Failures of a job's tasks: whether the job itself or the machines are at fault, and the back-off.
#pragma once
#include <cstddef>
#include <optional>
#include <set>
#include <string>

#include "base/clock.h"

namespace hareshore {

struct JobFailures {
    std::set<std::string> machines;  // where tasks failed since the last success; avoided by its next tasks
    bool failing = false;            // it failed on so many machines that the job is at fault, not they
    Seconds retry_at = 0;            // no task of it starts before
    Seconds backoff_s = 0;           // the last pause

    // Replicas of a service that ended at once since one last ran steadily.
    size_t quick_exits = 0;
    std::optional<Seconds> last_quick_exit_at;

    // A task succeeded: earlier failures no longer count. A pause that is running ends at its time.
    void clear() {
        machines.clear();
        failing = false;
        backoff_s = 0;
    }
    // Replicas stay again.
    void clear_quick_exits() {
        clear();
        quick_exits = 0;
    }
};

}  // namespace hareshore

// A job's task failures and the back-off that follows from them; see failure_accounting.h.
#pragma once
#include <cstddef>
#include <optional>
#include <set>
#include <string>

#include "base/clock.h"

namespace hareshore {

struct JobFailures {
    std::set<std::string> machines;  // where tasks failed since the last success; avoided by later attempts
    bool failing = false;            // failed on so many machines that the job is at fault
    Seconds retry_at = 0;            // no task of the job starts earlier
    Seconds backoff_s = 0;           // the last back-off delay

    // Quick exits of a service's replicas since one last ran for kReplicaStableRun_s.
    size_t quick_exits = 0;
    std::optional<Seconds> last_quick_exit_at;

    // Called when a task succeeds. A back-off that has begun still ends at `retry_at`.
    void clear() {
        machines.clear();
        failing = false;
        backoff_s = 0;
    }
    // Called when a replica has run for kReplicaStableRun_s.
    void clear_quick_exits() {
        clear();
        quick_exits = 0;
    }
};

}  // namespace hareshore

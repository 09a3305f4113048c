// Run times of a job's finished tasks, used to find machines on which its other tasks are stragglers.
#pragma once
#include <cstdint>

#include "base/clock.h"
#include "base/ranges.h"

namespace hareshore {

// Only array tasks that ran without interruption count: the last run of an interrupted task is too short.
struct RunTimes {
    bool saw_all_starts = true;  // this leader has seen every start of the job's tasks
    uint32_t count = 0;
    double sum_s = 0;
    Ranges interrupted;  // tasks that were released from a machine before they were done

    [[nodiscard]] bool counts(uint32_t task) const { return saw_all_starts && !interrupted.has(task); }
    void add(Seconds run_s) {
        ++count;
        sum_s += run_s;
    }
};

}  // namespace hareshore

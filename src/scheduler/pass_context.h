// The state shared by the parts of one scheduling pass.
#pragma once
#include <set>
#include <vector>

#include "base/constants.h"
#include "scheduler/scheduler.h"

namespace hareshore {

// The state of one scheduling pass. The parts of the pass hold references to it; it lives for one call of
// schedule().
struct PassContext {
    Cluster& cluster;
    JobTable& jobs;
    const SchedulerInput& input;
    std::set<const Job*> within_guarantee;  // jobs within their team's guarantee
    std::vector<Machine*> schedulable;      // machines that accept tasks, ordered by name
    std::vector<Binding> bindings;          // made so far, in order
    size_t preemption_searches = 0;         // searches counted by start_preemption_search()

    void count_steps(size_t steps) const {
        if (input.steps) *input.steps += steps;
    }

    // Counts a search for room beyond the free resources; returns false once the pass has used up its
    // searches. Only the jobs at the head of the queue get one: a search for every job of a long queue
    // would cost the queue's length times the number of machines.
    [[nodiscard]] bool start_preemption_search() {
        return ++preemption_searches <= constants::kPreemptionSearchJobs;
    }

    // Binds a task to a machine and updates the resource accounting.
    void bind(Job& job, uint32_t task, Machine& machine, uint64_t attempt);
};

}  // namespace hareshore

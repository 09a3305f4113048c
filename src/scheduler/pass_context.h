// What the parts of one scheduling pass share.
#pragma once
#include <set>
#include <vector>

#include "base/constants.h"
#include "scheduler/scheduler.h"

namespace hareshore {

// The state of one scheduling pass. Its parts hold references to it; it lives as long as the call of
// schedule().
struct PassContext {
    Cluster& cluster;
    JobTable& jobs;
    const SchedulerInput& input;
    std::set<const Job*> within_guarantee;  // jobs within their team's guarantee
    std::vector<Machine*> schedulable;      // machines on which tasks may be bound, by name
    std::vector<Binding> bindings;          // so far, in the order in which they were made
    size_t room_searches = 0;               // jobs for which room beyond what is free was sought

    void count_steps(size_t steps) const {
        if (input.steps) *input.steps += steps;
    }

    // Counts a search for room beyond what is free; false if the pass has made as many as it may. The head of
    // the queue decides: a search for each job of a long queue would cost its length times the machines.
    [[nodiscard]] bool start_room_search() { return ++room_searches <= constants::kPreemptionSearchJobs; }

    // Binds a task to a machine and accounts for its resources.
    void bind(Job& job, uint32_t task, Machine& machine, uint64_t attempt);
};

}  // namespace hareshore

// Cache-Matched Pull: which waiting task goes to which machine. No I/O; time is a parameter.
#pragma once
#include <vector>

#include "scheduler/queue.h"

namespace hareshore {

struct Binding {
    Job* job = nullptr;
    uint32_t task = 0;
    Machine* machine = nullptr;
};

// Binds tasks in the table and takes their room from the machines; Cluster::recount() must be current.
// Where a job may take room from others, their tasks are told to stop in the table.
std::vector<Binding> schedule(Cluster& cluster, JobTable& jobs, const SchedulerInput& in);

}  // namespace hareshore

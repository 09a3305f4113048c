// Drains a machine that is about to be reclaimed or returned.
#pragma once
#include "jobs/job_table.h"

namespace hareshore {

// Stops the tasks that can save a checkpoint. If the machine is a spot instance about to be reclaimed, also
// stops service replicas, which are started elsewhere at once. On a machine that is being returned, replicas
// are moved one by one instead (JobTable::move_replicas).
void drain_machine(JobTable& jobs, const Machine& machine);

}  // namespace hareshore

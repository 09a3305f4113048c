// Moving work off a machine that is about to be taken or returned.
#pragma once
#include "jobs/job_table.h"

namespace hareshore {

// Stops the tasks that can save a checkpoint and, if the spot instance is about to be reclaimed, service
// replicas, which start elsewhere at once. From a machine that is only to be returned replicas move one by
// one (JobTable::move_replicas).
void drain_machine(JobTable& jobs, const Machine& machine);

}  // namespace hareshore

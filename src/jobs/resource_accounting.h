// Computes the machines' free resources and the teams' usage from placements and reported tasks.
#pragma once
#include "cluster/cluster.h"
#include "jobs/job_table.h"

namespace hareshore {

// Updates the free resources of all machines and the team usage, and clears reservations. Placements and
// reported tasks both count, each task once. A machine whose last heartbeat is older than `silent_after`
// seconds is not schedulable.
void recount(Cluster& cluster, JobTable& jobs, Seconds now, Seconds silent_after);

// Updates the free resources of one machine, without team usage.
void recount_machine(const Cluster& cluster, Machine& machine, const JobTable& jobs, Seconds now,
                     Seconds silent_after);

}  // namespace hareshore

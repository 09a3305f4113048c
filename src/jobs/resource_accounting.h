// What placements and reported tasks take: the machines' free resources and the teams' usage.
#pragma once
#include "cluster/cluster.h"
#include "jobs/job_table.h"

namespace hareshore {

// Brings free resources of all machines and team usage up to date, and clears reservations. Placements and
// reported tasks both count, each task once. A machine whose last heartbeat is older than `silent_after`
// seconds is not schedulable.
void recount(Cluster& cluster, JobTable& jobs, Seconds now, Seconds silent_after);

// The same of one machine's resources alone, without team usage.
void recount_machine(const Cluster& cluster, Machine& machine, const JobTable& jobs, Seconds now,
                     Seconds silent_after);

}  // namespace hareshore

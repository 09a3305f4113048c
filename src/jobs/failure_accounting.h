// Attributes task failures to the machine or to the job, and sets the job's back-off. A single failure is not
// enough for either. A machine on which different jobs fail is cordoned; a job that fails on several machines
// is itself at fault, is retried with exponential back-off, and no longer counts against machines.
#pragma once
#include "cluster/cluster.h"
#include "jobs/job.h"

namespace hareshore {

// Accounts for a task of an array or a gang that ended with an error on the machine.
void account_task_error(Cluster& cluster, Machine& machine, Job& job, Seconds now);

// Accounts for the exit of a service's replica, before its placement is released. A replica is restarted
// whatever the cause of its exit: immediately if it ran for a while, with exponential back-off if it keeps
// exiting quickly. A quick exit counts against the machine, which the next start avoids, unless quick exits
// have occurred on several machines.
void account_replica_exit(Cluster& cluster, Machine& machine, Job& job, uint32_t task, ExitCause cause,
                          Seconds now);

// Accounts for a replica reported as running. One that has run long enough clears its service's failures.
void account_running_replica(Job& job, const Placement& replica, Seconds now);

}  // namespace hareshore

// Failures of tasks: held against the machine or against the job, and followed by a back-off. One failed task
// says little. A machine that fails different jobs is cordoned; a job that fails on several machines is at
// fault itself, waits longer each time, and no longer counts against machines.
#pragma once
#include "cluster/cluster.h"
#include "jobs/job.h"

namespace hareshore {

// A task of an array or a gang ended with an error on the machine.
void account_task_error(Cluster& cluster, Machine& machine, Job& job, Seconds now);

// A replica of a service exited on the machine; its placement is still there. A replica's exit is never the
// end of its task, whatever its cause: it is started again, at once if it ran for a while. One that keeps
// ending at once is started less and less often. That is held against the machine, which the next start
// avoids, only as long as it has not happened on several.
void account_replica_exit(Cluster& cluster, Machine& machine, Job& job, uint32_t task, ExitCause cause,
                          Seconds now);

// A replica is reported as running. One that has run steadily clears the failures of its service.
void account_running_replica(Job& job, const Placement& replica, Seconds now);

}  // namespace hareshore

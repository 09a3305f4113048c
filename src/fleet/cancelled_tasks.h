// Machines that may still run a task of a cancelled job. No I/O; time is a parameter.
#pragma once
#include <string>
#include <vector>

#include "cluster/cluster.h"
#include "config/config.h"
#include "jobs/job_table.h"

namespace hareshore {

// Returns the sorted names of machines that still have a task of a cancelled job after every lease that may
// have been granted to them has expired. By then a task that could be stopped has ended, and a worker that
// reaches no controller has stopped its tasks at lease expiry. A task that is still recorded may be running
// on a hung machine, and only deleting the machine ends it. This applies to machines in partitioned zones
// as well, and is early enough for the cloud to be slow or unavailable for a while within cancel_s.
[[nodiscard]] std::vector<std::string> machines_with_cancelled_tasks(const Cluster& cluster,
                                                                     const JobTable& jobs,
                                                                     const Config& config, Seconds now,
                                                                     Seconds receiving_since);

}  // namespace hareshore

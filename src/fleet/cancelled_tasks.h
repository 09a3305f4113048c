// Machines that may go on with a task of a cancelled job. No I/O; time is a parameter.
#pragma once
#include <string>
#include <vector>

#include "cluster/cluster.h"
#include "config/config.h"
#include "jobs/job_table.h"

namespace hareshore {

// The names, sorted, of machines that still hold a task of a cancelled job when every lease that may have
// been given since has expired. A task that could be stopped is gone by then, one whose machine hears nobody
// ended with its lease: what is still there is on a machine that hangs and may go on, and only the machine's
// deletion ends it. This includes machines in a zone that is cut off, and comes early enough for the cloud to
// be slow or away for a while within cancel_s.
[[nodiscard]] std::vector<std::string> machines_holding_cancelled(const Cluster& cluster,
                                                                  const JobTable& jobs, const Config& config,
                                                                  Seconds now, Seconds leading_since);

}  // namespace hareshore

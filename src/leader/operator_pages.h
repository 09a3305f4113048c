// The read-only pages that list the leader's jobs and machines, as plain text for operators.
#pragma once
#include <string>

#include "jobs/job_table.h"

namespace hareshore {

// One line for each unfinished job, in no particular order.
std::string jobs_page(const JobTable& jobs, Seconds now);
// One line for each machine, sorted by name.
std::string machines_page(const Cluster& cluster, Seconds now);

}  // namespace hareshore

// The order in which waiting jobs are served. No I/O; time is a parameter.
#pragma once
#include <set>
#include <vector>

#include "config/config.h"
#include "jobs/job_table.h"

namespace hareshore {

// Returns the jobs that fit within their team's guarantee, counting the team's earlier unfinished jobs.
std::set<const Job*> jobs_within_guarantee(const Config& config, const JobTable& jobs);

// A waiting job with the properties that determine its place in the queue.
struct QueuedJob {
    Job* job = nullptr;
    bool starved = false;             // no task started within begin_bound_s: served before all others
    bool production_service = false;  // served before all jobs that are not starved
    bool within_guarantee = false;    // its team's guarantee covers it
    bool aged = false;                // has waited longer than age_bound_s
    int missed_objectives = 0;        // objectives that it can no longer meet, even if it starts now
};

// Whether the job's tasks are placed all at once rather than one by one.
[[nodiscard]] inline bool is_multi_task_gang(const Job& job) {
    return job.spec.gang() && job.spec.tasks > 1;
}

// Returns the waiting jobs in the order in which they are served: starved jobs, services of production
// priority, jobs within their team's guarantee, then by priority, fewest missed objectives, aged jobs
// before others, oldest first.
std::vector<QueuedJob> queue_order(const JobTable& jobs, const Config& config, const Settings& settings,
                                   Seconds now, const std::set<const Job*>& within_guarantee);

// The component-wise minimum of the jobs' requests: a machine with less free in any resource fits none of
// them.
Resources smallest_request(const std::vector<QueuedJob>& jobs);

}  // namespace hareshore

// The order in which waiting jobs are served. No I/O; time is a parameter.
#pragma once
#include <set>
#include <vector>

#include "config/config.h"
#include "jobs/job_table.h"

namespace hareshore {

// Jobs that fit into their team's guarantee together with the team's earlier unfinished jobs.
std::set<const Job*> jobs_within_guarantee(const Config& config, const JobTable& jobs);

// A waiting job with what decides its place in the queue.
struct QueuedJob {
    Job* job = nullptr;
    bool starved = false;             // nothing of it has started for begin_bound_s: goes before all others
    bool production_service = false;  // goes before all that has not starved
    bool within_guarantee = false;    // of its team
    bool aged = false;                // it has waited longer than age_bound_s
    int missed_objectives = 0;        // objectives that it can no longer meet, however soon it starts
};

// The waiting jobs in the order in which they are served: starved ones, services of production priority, work
// within a guarantee, then by priority, fewest missed objectives, aged jobs before others, oldest first.
std::vector<QueuedJob> queue_order(const JobTable& jobs, const Config& config, const Settings& settings,
                                   Seconds now, const std::set<const Job*>& within_guarantee);

// The smallest request of the jobs in each resource: a machine with less free fits none of them.
Resources smallest_request(const std::vector<QueuedJob>& jobs);

}  // namespace hareshore

// Cache-Matched Pull: decides which waiting task runs on which machine. No I/O; time is a parameter.
#pragma once
#include <vector>

#include "cluster/cluster.h"
#include "config/config.h"
#include "jobs/job_table.h"

namespace hareshore {

// The input of a scheduling pass.
struct SchedulerInput {
    const Config& config;
    const Settings& settings;
    Seconds now;
    // Machines that request work now: those whose heartbeats are held for a response.
    std::vector<Machine*> requesting_machines;
    uint64_t record_format;     // the format in which job records are written
    uint64_t* steps = nullptr;  // counts the machines examined, so that tests can check how the cost grows
};

// A task that a pass has bound to a machine.
struct Binding {
    Job* job = nullptr;
    uint32_t task = 0;
    Machine* machine = nullptr;
};

// Runs one scheduling pass: binds tasks in the job table and subtracts their resources from the machines.
// The counts of recount() must be current. Where a job may preempt others, their tasks are stopped in the
// job table.
std::vector<Binding> schedule(Cluster& cluster, JobTable& jobs, const SchedulerInput& input);

}  // namespace hareshore

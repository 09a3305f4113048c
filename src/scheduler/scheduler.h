// Cache-Matched Pull: which waiting task goes to which machine. No I/O; time is a parameter.
#pragma once
#include <vector>

#include "cluster/cluster.h"
#include "config/config.h"
#include "jobs/job_table.h"

namespace hareshore {

// What a scheduling pass is given.
struct SchedulerInput {
    const Config& config;
    const Settings& settings;
    Seconds now;
    // Machines that request work now: those whose heartbeats wait for an answer.
    std::vector<Machine*> requesting_machines;
    uint64_t record_format;  // of the records that are written now
    uint64_t* steps =
        nullptr;  // counts the steps taken, machines looked at above all; for tests of their growth
};

// A task that a pass has bound to a machine.
struct Binding {
    Job* job = nullptr;
    uint32_t task = 0;
    Machine* machine = nullptr;
};

// Runs one scheduling pass: binds tasks in the table and takes their resources from the machines. The counts
// of recount() must be current. Where a job may preempt others, their tasks are stopped in the table.
std::vector<Binding> schedule(Cluster& cluster, JobTable& jobs, const SchedulerInput& input);

}  // namespace hareshore

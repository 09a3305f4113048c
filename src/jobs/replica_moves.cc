// Moves the replicas of services off cordoned and draining machines.
#include "jobs/job_table.h"

namespace hareshore {

namespace {

// Whether all other replicas of the service are running, so that this one may be stopped.
bool other_replicas_running(const Job& job, const Placement& replica) {
    uint32_t this_running = replica.phase == TaskPhase::kRunning ? 1 : 0;
    return job.running_replicas() - this_running + 1 == job.spec.tasks;
}

}  // namespace

void JobTable::move_replicas(Cluster& cluster) {
    for (auto& [name, machine] : cluster.machines) {
        if (!machine->cordoned && !machine->draining) continue;
        for (const auto& [job, task, replica] : placements_on(name)) {
            if (!job->spec.service() || job->cancelled || replica->stopping) continue;
            if (other_replicas_running(*job, *replica)) stop(*job, task, StopMode::kSaveFirst);
        }
    }
}

}  // namespace hareshore

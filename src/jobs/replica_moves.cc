// Moves the replicas of services off machines that are to be emptied.
#include "jobs/job_table.h"

namespace hareshore {

namespace {

// Whether all other replicas of the service run, so that this one may be stopped.
bool others_run(const Job& job, const Placement& replica) {
    uint32_t itself = replica.phase == TaskPhase::kRunning ? 1 : 0;
    return job.running_replicas() - itself + 1 == job.spec.tasks;
}

}  // namespace

void JobTable::move_replicas(Cluster& cluster) {
    for (auto& [name, machine] : cluster.machines) {
        if (!machine->cordoned && !machine->draining) continue;
        for (const auto& [job, task, replica] : on_machine(name)) {
            if (!job->spec.service() || job->cancelled || replica->stopping) continue;
            if (others_run(*job, *replica)) stop(*job, task, StopMode::kSaveFirst);
        }
    }
}

}  // namespace hareshore

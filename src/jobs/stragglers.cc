// Detects machines on which tasks run much longer than finished tasks of the same job.
#include "base/constants.h"
#include "base/log.h"
#include "jobs/job_table.h"

namespace hareshore {

namespace {

bool straggles(const PlacedTask& placed, Seconds now) {
    const Job& job = *placed.job;
    if (job.spec.gang() || job.run_times.count < constants::kStragglerMinFinishedTasks) return false;
    Seconds run_time = placed.placement->run_time(now);
    return run_time > constants::kStragglerMinRun_s &&
           run_time > constants::kStragglerFactor * job.run_times.sum_s / job.run_times.count;
}

size_t count_stragglers(const std::vector<PlacedTask>& tasks, Seconds now) {
    size_t count = 0;
    for (const auto& placed : tasks) count += straggles(placed, now) ? 1 : 0;
    return count;
}

}  // namespace

void JobTable::cordon_stragglers(Cluster& cluster, Seconds now) {
    for (auto& [name, machine] : cluster.machines) {
        // On a machine without recent heartbeats tasks may have ended; they only appear to run for long.
        if (machine->cordoned || !machine->schedulable) continue;
        if (count_stragglers(placements_on(name), now) < constants::kCordonAfterStragglers) continue;
        machine->cordoned = true;
        machine->cordon_reason = "tasks run several times longer than other tasks of the same job";
        log::info("machine_cordoned", {{"machine", name}, {"reason", machine->cordon_reason}});
        for (const auto& placed : placements_on(name))
            if (placed.job->spec.checkpoint_s > 0 && !placed.job->spec.service())
                stop(*placed.job, placed.task, StopMode::kSaveFirst);
    }
}

}  // namespace hareshore

#include "leader/machine_drain.h"

namespace hareshore {

void drain_machine(JobTable& jobs, const Machine& machine) {
    const bool reclaimed = machine.spot_reclaim_at.has_value();
    const std::vector<PlacedTask> tasks =
        jobs.placements_on(machine.name);  // a copy, since stop() may change the list
    for (const auto& placed : tasks) {
        const JobSpec& spec = placed.job->spec;
        if (spec.service() ? reclaimed : spec.checkpoint_s > 0)
            jobs.stop(*placed.job, placed.task, StopMode::kSaveFirst);
    }
}

}  // namespace hareshore

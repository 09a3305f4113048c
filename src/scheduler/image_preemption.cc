#include "scheduler/image_preemption.h"

#include <algorithm>

#include "scheduler/reservation.h"
#include "scheduler/slot_selection.h"
#include "scheduler/task_fit.h"
#include "scheduler/zone_rule.h"

namespace hareshore {

namespace {

bool all_victims_skip_saving(const PreemptionStep& step) {
    return std::all_of(step.victims.begin(), step.victims.end(),
                       [](const Victim& victim) { return victim.job->skips_saving(); });
}

// Whether a cached image makes the start on this machine much faster.
bool saves_long_fetch(const PassContext& pass, const JobSpec& spec, const Machine& machine) {
    const MachineType* type = pass.cluster.machine_type(machine.machine_type);
    return machine.cache.has(spec.image) &&
           spec.image_gb >= constants::kImagePreemptionMinFetch_s * type->fetch_gb_per_s;
}

// Returns the capacities of the machines that have the image cached, keeping only preemptions of work that
// need not save first.
std::vector<MachineCapacity> capacities_with_image(const PassContext& pass, const JobSpec& spec,
                                                   const std::vector<MachineCapacity>& capacities) {
    std::vector<MachineCapacity> with_image;
    for (const MachineCapacity& capacity : capacities) {
        if (!saves_long_fetch(pass, spec, *capacity.machine)) continue;
        with_image.push_back(capacity);
        std::erase_if(with_image.back().preemptions,
                      [](const PreemptionStep& step) { return !all_victims_skip_saving(step); });
    }
    return with_image;
}

}  // namespace

void preempt_for_image(PassContext& pass, const TeamQuota& quota, CapacityCache& capacities,
                       const QueuedJob& gang) {
    Job& job = *gang.job;
    Seconds now = pass.input.now;
    if (job.image_preemption.tried_for_wait == job.wait.since || !job.live.empty() || !may_start(job, now))
        return;
    job.image_preemption.tried_for_wait = job.wait.since;
    uint32_t tasks = job.pending.size();
    if (!quota.within_limit(job.spec, tasks)) return;
    auto with_image = capacities_with_image(pass, job.spec, capacities.find(gang));
    SlotSelection best;
    for (const auto& zone : zones_to_try(job.spec, pass.input.config)) {
        if (!zone.empty() && ZoneRule(job).remaining(zone) == 0) continue;
        SlotSelection selection = select_slots(pass, zone, job, tasks, with_image);
        if (selection.complete && (!best.complete || selection.better_than(best)))
            best = std::move(selection);
    }
    if (!best.complete || best.victims.empty()) return;
    preempt(pass, job, best.victims);
    job.image_preemption.until = now + constants::kImagePreemptionWait_s;
    reserve(job, best.machines, now);
}

}  // namespace hareshore

#include "scheduler/image_preemption.h"

#include <algorithm>

#include "scheduler/reservation.h"
#include "scheduler/slot_selection.h"
#include "scheduler/task_fit.h"
#include "scheduler/zone_rule.h"

namespace hareshore {

namespace {

bool needs_no_saving(const PreemptionStep& step) {
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
std::vector<MachineCapacity> image_holder_capacities(const PassContext& pass, const JobSpec& spec,
                                                     const std::vector<MachineCapacity>& capacities) {
    std::vector<MachineCapacity> holders;
    for (const MachineCapacity& capacity : capacities) {
        if (!saves_long_fetch(pass, spec, *capacity.machine)) continue;
        holders.push_back(capacity);
        std::erase_if(holders.back().preemptions,
                      [](const PreemptionStep& step) { return !needs_no_saving(step); });
    }
    return holders;
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
    auto holders = image_holder_capacities(pass, job.spec, capacities.find(gang));
    SlotSelection best;
    for (const auto& zone : zones_to_try(job.spec, pass.input.config)) {
        if (!zone.empty() && ZoneRule(job).remaining(zone) == 0) continue;
        SlotSelection selection = select_slots(pass, zone, job, tasks, holders);
        if (selection.complete && (!best.complete || selection.better_than(best)))
            best = std::move(selection);
    }
    if (!best.complete || best.victims.empty()) return;
    preempt(pass, job, best.victims);
    job.image_preemption.until = now + constants::kImagePreemptionWait_s;
    reserve(job, best.machines, now);
}

}  // namespace hareshore

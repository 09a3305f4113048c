#include "scheduler/reservation.h"

#include <algorithm>

#include "scheduler/replica_preemption.h"
#include "scheduler/slot_selection.h"
#include "scheduler/task_fit.h"
#include "scheduler/zone_rule.h"

namespace hareshore {

namespace {

// The number of tasks of an array or gang to make room for; 0 if no room is to be made.
uint32_t tasks_to_make_room_for(const TeamQuota& quota, const QueuedJob& queued) {
    const Job& job = *queued.job;
    uint32_t pending = job.pending.size();
    if (job.spec.gang()) {
        // A gang that has started or is ending gets no replacement tasks.
        if (!job.live.empty() && !job.gang_attempt.accepts_replacements()) return 0;
        return quota.within_limit(job.spec, pending) ? pending : 0;
    }
    // An array preempts others only within its team's guarantee, and for no more tasks than the team's
    // limit allows: preempting beyond the limit would stop work for tasks that cannot start.
    return queued.within_guarantee ? quota.max_tasks_within_limit(job.spec, pending) : 0;
}

SlotSelection select_best_slots(const PassContext& pass, const Job& job, uint32_t tasks,
                                const std::vector<MachineCapacity>& capacities) {
    SlotSelection best;
    for (const auto& zone : zones_to_try(job.spec, pass.input.config)) {
        if (!zone.empty() && ZoneRule(job).remaining(zone) == 0) continue;
        SlotSelection selection = select_slots(pass, zone, job, tasks, capacities);
        if (best.machines.empty() || selection.better_than(best)) best = std::move(selection);
    }
    return best;
}

// Keeps track of how long nothing has told when the gang can start.
void note_expected_start(Job& gang, const SlotSelection& selection, Seconds now) {
    std::optional<Seconds>& unknown_since = gang.wait.start_unknown_since;
    if (selection.complete || selection.start_expected) {
        unknown_since.reset();
    } else if (!unknown_since) {
        unknown_since = now;
    }
}

}  // namespace

void reserve(const Job& job, const std::vector<Machine*>& machines, Seconds until) {
    for (Machine* machine : machines) {
        machine->reserved += Resources::of(job.spec);
        machine->reserved_until = std::max(machine->reserved_until, until);
        ++machine->capacity_version;
    }
}

std::optional<Seconds> make_room(PassContext& pass, const TeamQuota& quota, CapacityCache& capacities,
                                 const QueuedJob& queued) {
    Job& job = *queued.job;
    Seconds now = pass.input.now;
    if (job.pending.empty() || !may_start(job, now) || !pass.start_preemption_search()) return std::nullopt;
    if (job.spec.service()) {
        preempt_for_replicas(pass, quota, capacities, queued);
        return std::nullopt;
    }
    // A gang whose record is full could not use the room.
    if (is_multi_task_gang(job) && job.wait.reason == WaitReason::kRecordFull) return std::nullopt;
    uint32_t tasks = tasks_to_make_room_for(quota, queued);
    if (tasks == 0) return std::nullopt;
    SlotSelection best = select_best_slots(pass, job, tasks, capacities.find(queued));
    // A gang that would still lack room after preemption stops no tasks; it waits for running tasks to end.
    bool worth_preempting = best.complete || !job.spec.gang();
    if (worth_preempting && now - job.wait.since >= pass.input.settings.preempt_after_s)
        preempt(pass, job, best.victims);
    if (!job.spec.gang()) return std::nullopt;
    note_expected_start(job, best, now);
    if (job.wait.reservation_expired(now)) return std::nullopt;
    Seconds expected_start = best.complete ? now : best.available_at;
    reserve(job, best.machines, expected_start);
    return expected_start;
}

}  // namespace hareshore

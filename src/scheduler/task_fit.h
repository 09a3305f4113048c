// Whether a task of a job may start now, and whether it fits on a machine. Evaluated for each job and
// machine of a pass, so the checks that rule out most machines are inline.
#pragma once
#include "scheduler/pass_context.h"

namespace hareshore {

// Whether the job may start any task now; sets its wait reason if not.
[[nodiscard]] inline bool may_start(Job& job, Seconds now) {
    if (now < job.failures.retry_at) {
        job.wait.reason = WaitReason::kBackoff;
        return false;
    }
    if (job.wait.has_unplaced_task) {
        job.wait.reason = WaitReason::kPreviousAttemptNotEnded;
        return false;
    }
    return true;
}

// Whether the job avoids the machine because its tasks failed there. A failing job does not avoid machines,
// since the fault is its own.
[[nodiscard]] inline bool avoids(const Job& job, const Machine& machine) {
    return !job.failures.failing && job.failures.machines.contains(machine.name);
}

// The free resources of a machine with reservations that the job may use. Includes the reserved resources,
// as backfill, if the job's tasks are expected to end before the reservation begins.
Resources resources_outside_reservations(const PassContext& pass, const Job& job, const Machine& machine);

// The free resources of a machine that the job may use.
[[nodiscard]] inline Resources available_resources(const PassContext& pass, const Job& job,
                                                   const Machine& machine) {
    const Resources& reserved = machine.reserved;
    if (reserved.cpus <= 0 && reserved.gpus <= 0 && reserved.memory_gb <= 0) return machine.free;
    return resources_outside_reservations(pass, job, machine);
}

// Whether a task of the job can run on the machine now, ignoring zone constraints. The cheapest checks come
// first, since most machines of a busy fleet are full.
[[nodiscard]] inline bool fits(const PassContext& pass, const Job& job, const Machine& machine) {
    return machine.schedulable && machine.free.can_fit(job.spec) &&
           available_resources(pass, job, machine).can_fit(job.spec) &&
           job.spec.allows(machine.machine_type, machine.zone, machine.spot) && !avoids(job, machine);
}

}  // namespace hareshore

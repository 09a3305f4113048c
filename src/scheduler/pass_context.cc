#include "scheduler/pass_context.h"

namespace hareshore {

void PassContext::bind(Job& job, uint32_t task, Machine& machine, uint64_t attempt) {
    jobs.bind(job, task, machine, attempt, input.now);
    machine.free -= Resources::of(job.spec);
    ++machine.placed_tasks;
    ++machine.capacity_version;
    machine.idle_since.reset();
    TeamUsage& usage = cluster.teams[job.spec.team];
    usage.cpus += job.spec.cpus;
    usage.gpus += job.spec.gpus;
    job.wait.reason = job.pending.empty() ? WaitReason::kNone : WaitReason::kNoRoom;
    bindings.push_back({&job, task, &machine});
}

}  // namespace hareshore

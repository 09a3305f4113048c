#include "scheduler/machine_capacity.h"

#include <algorithm>

#include "base/constants.h"

namespace hareshore {

namespace {

constexpr uint32_t kMaxSlots = constants::kMaxTasksPerMachine;

// The expected end of a task and the resources it frees.
struct TaskEnd {
    Seconds time = 0;
    Resources amount;
};

// The placements on one machine that can free resources.
struct MachineTasks {
    std::vector<Victim> victims;
    std::vector<TaskEnd> ends;
};

// When a placement is expected to end. Estimates are often wrong by half, so an overdue task is expected to
// run for a further share of the time it has run already.
Seconds expected_end(const Job& job, const Placement& placement, Seconds now) {
    Seconds ran = now - placement.running_since.value_or(now);
    return now + std::max(job.spec.estimate_s - ran, constants::kOverdueRemainingShare * ran);
}

// Classifies the machine's placements as victims and expected ends. Resources of tasks that are already
// being stopped are added to `available`.
MachineTasks classify_tasks(PassContext& pass, const QueuedJob& queued, Machine& machine,
                            Resources& available) {
    const JobSpec& spec = queued.job->spec;
    MachineTasks found;
    for (const auto& [job, task, placement] : pass.jobs.placements_on(machine.name)) {
        if (placement->stopping) {
            available += Resources::of(job->spec);
            continue;
        }
        // Only gangs wait for running tasks to end.
        if (spec.gang() && !job->spec.service())
            found.ends.push_back({expected_end(*job, *placement, pass.input.now), Resources::of(job->spec)});
        // A service may preempt a whole gang instead of waiting for it to end, since the gang may occupy
        // all the room there is.
        bool stoppable_alone = !job->spec.gang() || job->spec.tasks == 1 || spec.service();
        if (may_preempt(pass, queued, *job) && stoppable_alone)
            found.victims.push_back({job, task, placement, &machine});
    }
    return found;
}

// When slots beyond those in `available` are expected to become free without preemption.
std::vector<Seconds> expected_slots(const JobSpec& spec, Resources available, std::vector<TaskEnd>& ends,
                                    uint32_t slots) {
    std::sort(ends.begin(), ends.end(), [](const TaskEnd& a, const TaskEnd& b) { return a.time < b.time; });
    std::vector<Seconds> expected;
    for (const TaskEnd& end : ends) {
        available += end.amount;
        for (uint32_t fitting = available.count_fitting(spec, kMaxSlots); slots < fitting; ++slots)
            expected.push_back(end.time);
    }
    return expected;
}

// The slots beyond those in `available` that are freed by stopping the victims in the given order.
std::vector<PreemptionStep> preemption_steps(const JobSpec& spec, Resources available,
                                             const std::vector<Victim>& victims, uint32_t slots,
                                             Seconds now) {
    std::vector<PreemptionStep> steps;
    PreemptionStep step;
    for (const Victim& victim : victims) {
        available += Resources::of(victim.job->spec);
        step.victims.push_back(victim);
        step.loss += preemption_loss(victim, now);
        // A large victim may free several slots; those after the first have no further cost.
        for (uint32_t fitting = available.count_fitting(spec, kMaxSlots); slots < fitting; ++slots)
            steps.push_back(std::exchange(step, {}));
    }
    return steps;
}

MachineCapacity capacity_of(PassContext& pass, const QueuedJob& queued, Machine& machine) {
    const JobSpec& spec = queued.job->spec;
    MachineCapacity capacity;
    capacity.machine = &machine;
    capacity.version = machine.capacity_version;
    Resources available = machine.free;
    available -= machine.reserved;
    MachineTasks tasks = classify_tasks(pass, queued, machine, available);
    capacity.free_slots = available.count_fitting(spec, kMaxSlots);
    if (tasks.victims.size() > 1) sort_by_loss(pass, tasks.victims);
    capacity.expected_slots = expected_slots(spec, available, tasks.ends, capacity.free_slots);
    capacity.preemptions =
        preemption_steps(spec, available, tasks.victims, capacity.free_slots, pass.input.now);
    return capacity;
}

}  // namespace

CapacityCache::Request CapacityCache::request_of(const QueuedJob& queued) {
    const JobSpec& spec = queued.job->spec;
    return {spec.cpus,
            spec.gpus,
            spec.memory_gb,
            task_list_bytes(spec.id),
            spec.machine_types,
            spec.zone,
            spec.spot,
            spec.kind,
            spec.priority,
            queued.within_guarantee,
            queued.within_guarantee ? spec.team : std::string()};
}

const std::vector<MachineCapacity>& CapacityCache::find(const QueuedJob& queued) {
    auto [it, inserted] = by_request_.try_emplace(request_of(queued));
    std::vector<MachineCapacity>& capacities = it->second;
    if (inserted) {
        pass_.count_steps(pass_.schedulable.size());
        for (Machine* machine : pass_.schedulable)
            if (queued.job->spec.allows(machine->machine_type, machine->zone, machine->spot))
                capacities.push_back(capacity_of(pass_, queued, *machine));
    }
    for (MachineCapacity& capacity : capacities) {
        if (capacity.version == capacity.machine->capacity_version) continue;
        pass_.count_steps(1);
        capacity = capacity_of(pass_, queued, *capacity.machine);
    }
    return capacities;
}

}  // namespace hareshore

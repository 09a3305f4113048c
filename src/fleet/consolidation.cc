#include "fleet/consolidation.h"

#include <algorithm>
#include <compare>

#include "base/constants.h"

namespace hareshore {

namespace {

// The sort key of a machine to be drained; the smallest is tried first: on-demand machines before the
// cheaper spot machines, then the least used.
struct DrainRank {
    bool spot;
    double negated_free_gpus;
    double negated_free_cpus;
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted <=>
    auto operator<=>(const DrainRank&) const = default;
};

DrainRank rank_of(const PlannedMachine& planned) {
    return {planned.kind.spot, -planned.free.gpus, -planned.free.cpus};
}

// Whether a task can be moved at little cost: it can checkpoint, has run for a while and is expected to run
// for longer than the move takes.
bool movable(const Job& job, const Placement& placement, Seconds now) {
    if (job.spec.gang() && job.spec.tasks > 1) return false;
    if (job.spec.checkpoint_s <= 0 || placement.stopping || !placement.running_since) return false;
    Seconds ran = now - *placement.running_since;
    return ran >= constants::kConsolidationMinRun_s &&
           job.spec.estimate_s - ran >= constants::kConsolidationMinRemaining_s;
}

// Whether all tasks on the machine can be moved.
bool all_movable(const PlanningContext& context, const Machine& machine) {
    if (machine.placed_tasks == 0 || !machine.schedulable) return false;
    const auto& tasks = context.jobs.placements_on(machine.name);
    return tasks.size() == machine.placed_tasks &&
           std::all_of(tasks.begin(), tasks.end(), [&](const PlacedTask& placed) {
               return movable(*placed.job, *placed.placement, context.input.now);
           });
}

// Whether a machine may be drained now: new work is unlikely to need it, and no other machine is draining.
bool may_drain(const PlanningContext& context) {
    if (!context.no_recent_arrivals()) return false;
    const auto& jobs = context.jobs.all();
    if (std::any_of(jobs.begin(), jobs.end(), [](const auto& entry) { return entry.second->waiting(); }))
        return false;
    const auto& machines = context.cluster.machines;
    return std::none_of(machines.begin(), machines.end(),
                        [](const auto& entry) { return entry.second->draining; });
}

std::vector<const PlannedMachine*> drain_candidates(const PlanningContext& context,
                                                    const FleetCapacity& capacity) {
    std::vector<const PlannedMachine*> candidates;
    for (const PlannedMachine& planned : capacity.machines())
        if (planned.machine && all_movable(context, *planned.machine)) candidates.push_back(&planned);
    std::sort(candidates.begin(), candidates.end(), [](const PlannedMachine* a, const PlannedMachine* b) {
        auto order = rank_of(*a) <=> rank_of(*b);
        return std::is_neq(order) ? std::is_lt(order) : a->machine->name < b->machine->name;
    });
    return candidates;
}

// Copies of the machines to which the tasks of `drained` may move: machines in use, and also idle spot
// machines if `drained` is not a spot machine.
std::vector<PlannedMachine> move_targets(const FleetCapacity& capacity, const PlannedMachine& drained) {
    std::vector<PlannedMachine> targets;
    for (const PlannedMachine& planned : capacity.machines())
        if (&planned != &drained && planned.machine && planned.machine->schedulable &&
            (planned.machine->placed_tasks > 0 || (planned.kind.spot && !drained.kind.spot)))
            targets.push_back(planned);
    return targets;
}

// Places one task on the first allowed machine that has room; returns false if there is none.
bool place_on_any(std::vector<PlannedMachine>& targets, const JobSpec& spec) {
    if ((spec.single_zone && spec.tasks > 1) || spec.spread_across_zones) return false;
    return std::any_of(targets.begin(), targets.end(), [&](PlannedMachine& target) {
        return target.allowed_for(spec) && target.place(spec, 1) > 0;
    });
}

}  // namespace

void consolidate(PlanningContext& context, const FleetCapacity& capacity) {
    if (!may_drain(context)) return;
    for (const PlannedMachine* candidate : drain_candidates(context, capacity)) {
        auto targets = move_targets(capacity, *candidate);
        const auto& tasks = context.jobs.placements_on(candidate->machine->name);
        bool all_have_room = std::all_of(tasks.begin(), tasks.end(), [&](const PlacedTask& placed) {
            return place_on_any(targets, placed.job->spec);
        });
        if (!all_have_room) continue;
        context.plan.drain.push_back(candidate->machine->name);
        return;
    }
}

}  // namespace hareshore

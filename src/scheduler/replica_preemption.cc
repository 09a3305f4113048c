#include "scheduler/replica_preemption.h"

#include <algorithm>
#include <tuple>

#include "scheduler/task_fit.h"
#include "scheduler/zone_rule.h"

namespace hareshore {

namespace {

// Counts the replicas that still need a slot and checks in which zones they may start.
class MissingReplicas {
  public:
    MissingReplicas(const Job& job, uint32_t number) : rule_(job), missing_(number) {}

    [[nodiscard]] bool none() const { return missing_ == 0; }
    // Assigns a slot on the machine to one of the missing replicas; returns false if none can use it.
    bool take_slot(const Machine& machine) {
        if (missing_ == 0 || rule_.remaining(machine.zone) == 0) return false;
        rule_.add(machine.zone);
        --missing_;
        return true;
    }

  private:
    ZoneRule rule_;
    uint32_t missing_;
};

}  // namespace

void preempt_for_replicas(PassContext& pass, const TeamQuota& quota, CapacityCache& capacities,
                          const QueuedJob& service) {
    const Job& job = *service.job;
    uint32_t startable = quota.max_tasks_within_limit(job.spec, job.pending.size());
    if (startable == 0 || pass.input.now - job.wait.since < pass.input.settings.preempt_after_s) return;
    const std::vector<MachineCapacity>& usable = capacities.find(service);
    MissingReplicas missing(job, startable);
    std::vector<StepReference> steps;
    pass.count_steps(usable.size());
    for (const MachineCapacity& capacity : usable) {
        if (avoids(job, *capacity.machine)) continue;
        for (uint32_t i = 0; i < capacity.free_slots; ++i)
            if (!missing.take_slot(*capacity.machine)) break;
        for (size_t i = 0; i < capacity.preemptions.size(); ++i) steps.push_back({&capacity, i});
    }
    if (missing.none()) return;
    // The steps of a machine build on each other, and its first step loses least.
    std::sort(steps.begin(), steps.end(), [](const StepReference& a, const StepReference& b) {
        return std::tie(a.index, a.step().loss, a.capacity->machine->name) <
               std::tie(b.index, b.step().loss, b.capacity->machine->name);
    });
    std::vector<Victim> victims;
    for (const StepReference& reference : steps) {
        if (!missing.take_slot(*reference.capacity->machine)) continue;
        const auto& step_victims = reference.step().victims;
        victims.insert(victims.end(), step_victims.begin(), step_victims.end());
    }
    preempt(pass, job, victims);
}

}  // namespace hareshore

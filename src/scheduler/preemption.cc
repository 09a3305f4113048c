#include "scheduler/preemption.h"

#include <algorithm>
#include <cmath>
#include <compare>
#include <tuple>

#include "base/log.h"

namespace hareshore {

namespace {

// The sort key of a victim; the smallest is stopped first.
struct VictimRank {
    bool gang = false;
    bool cannot_checkpoint = false;
    PriorityClass priority = PriorityClass::kIdle;
    bool on_time = false;
    double loss = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted <=>
    auto operator<=>(const VictimRank&) const = default;
};

VictimRank rank_of(const PassContext& pass, const Victim& victim) {
    const Job& job = *victim.job;
    Seconds now = pass.input.now;
    return {job.spec.gang(), job.spec.checkpoint_s <= 0, job.spec.priority,
            !job.likely_late(pass.input.config, now), preemption_loss(victim, now)};
}

// Whether a job can be preempted for another job of its team that waits for the team's limit. A gang is
// stopped as a whole, which may free more than needed, so only gangs of one task qualify.
bool preemptible_for_team_limit(const Job& job, const JobSpec& beneficiary) {
    return job.spec.priority < beneficiary.priority && !job.cancelled && !job.spec.service() &&
           (!job.spec.gang() || job.spec.tasks == 1);
}

// What preemption can free of a team's limit.
struct TeamPreemption {
    std::vector<Victim> victims;
    TeamUsage freed;  // by tasks that are already being stopped
};

TeamPreemption find_team_preemption(PassContext& pass, const JobSpec& beneficiary) {
    TeamPreemption found;
    for (const auto& [id, job] : pass.jobs.all()) {
        if (job->spec.team != beneficiary.team) continue;
        bool preemptible = preemptible_for_team_limit(*job, beneficiary);
        for (const auto& [task, placement] : job->live) {
            if (placement.stopping) {
                found.freed.cpus += job->spec.cpus;
                found.freed.gpus += job->spec.gpus;
            } else if (Machine* machine = preemptible ? pass.cluster.machine(placement.machine) : nullptr) {
                found.victims.push_back({job.get(), task, &placement, machine});
            }
        }
    }
    return found;
}

}  // namespace

bool may_preempt(const PassContext& pass, const QueuedJob& queued, const Job& running) {
    if (&running == queued.job || running.cancelled) return false;
    if (running.spec.service()) return false;  // replicas are never preempted
    // This is the only task that a starved job has started. If it were stopped, the job would be starved
    // again and take the room back.
    if (pass.input.now - running.accepted > pass.input.settings.begin_bound_s && running.done.empty() &&
        running.live.size() == 1)
        return false;
    bool running_guaranteed = pass.within_guarantee.contains(&running);
    bool protected_by_guarantee =
        running_guaranteed && !queued.within_guarantee && !queued.production_service;
    if (running.spec.priority < queued.job->spec.priority && !protected_by_guarantee) return true;
    return queued.within_guarantee && running.spec.team != queued.job->spec.team && !running_guaranteed;
}

double preemption_loss(const Victim& victim, Seconds now) {
    const Placement& placement = *victim.placement;
    const JobSpec& spec = victim.job->spec;
    Seconds lost = now - (placement.running_since.value_or(placement.bound_at));
    // A start counts towards the objectives only if the task is not stopped soon after it.
    if (!placement.running_since || lost < constants::kMinRunToCountAsStarted_s)
        lost += constants::kMinRunToCountAsStarted_s;
    else if (spec.checkpoint_s > 0)
        lost = std::fmod(lost, spec.checkpoint_s);
    // A gang is stopped as a whole.
    uint32_t tasks = spec.gang() ? spec.tasks : 1;
    return tasks * spec.gpus * (lost + constants::kExpectedStartLatency_s);
}

void sort_by_loss(const PassContext& pass, std::vector<Victim>& victims) {
    std::sort(victims.begin(), victims.end(), [&](const Victim& a, const Victim& b) {
        auto order = rank_of(pass, a) <=> rank_of(pass, b);
        if (std::is_neq(order)) return std::is_lt(order);
        return std::tie(a.job->spec.id, a.task) < std::tie(b.job->spec.id, b.task);
    });
}

void preempt(PassContext& pass, const Job& beneficiary, const std::vector<Victim>& victims) {
    for (const Victim& victim : victims) {
        log::debug("task_preempted",
                   {{"job", victim.job->spec.id}, {"task", victim.task}, {"for_job", beneficiary.spec.id}});
        ++victim.machine->capacity_version;
        pass.jobs.stop(*victim.job, victim.task, StopMode::kSkipSaveIfCheap);
    }
}

void preempt_for_team_limit(PassContext& pass, const QueuedJob& queued, uint32_t tasks) {
    const JobSpec& spec = queued.job->spec;
    if (!pass.input.config.team(spec.team)) return;
    if (!queued.starved || !pass.start_preemption_search()) return;
    TeamPreemption found = find_team_preemption(pass, spec);
    auto frees_enough = [&] {
        return pass.cluster.within_limit(pass.input.config, spec, tasks,
                                         {-found.freed.cpus, -found.freed.gpus});
    };
    sort_by_loss(pass, found.victims);
    size_t needed = 0;
    for (; !frees_enough() && needed < found.victims.size(); ++needed) {
        found.freed.cpus += found.victims[needed].job->spec.cpus;
        found.freed.gpus += found.victims[needed].job->spec.gpus;
    }
    if (!frees_enough()) return;
    found.victims.resize(needed);
    preempt(pass, *queued.job, found.victims);
}

}  // namespace hareshore

#include "scheduler/task_matching.h"

#include <algorithm>

#include "base/constants.h"
#include "scheduler/task_fit.h"
#include "scheduler/zone_rule.h"

namespace hareshore {

namespace {

// Whether tasks of the queued job are placed one by one and one of them may start now.
bool has_startable_task(const QueuedJob& queued, Seconds now) {
    Job& job = *queued.job;
    if (job.pending.empty() || is_multi_task_gang(job) || !may_start(job, now)) return false;
    // Starvation moves only the first task of an array ahead; once it has started, the others keep their
    // regular place in the queue.
    return !queued.starved || job.live.empty();
}

// How many replicas would be lost with the machine: the job's replicas on it, plus one if more than half of
// the replicas would be on spot machines, which are reclaimed in waves.
size_t replica_concentration(const Job& job, const Machine& machine, size_t spot_replicas) {
    auto on_machine = std::count_if(job.live.begin(), job.live.end(),
                                    [&](const auto& live) { return live.second.machine == machine.name; });
    bool too_many_spot = machine.spot && 2 * (spot_replicas + 1) > job.spec.tasks;
    return static_cast<size_t>(on_machine) + (too_many_spot ? 1 : 0);
}

size_t count_spot_replicas(Cluster& cluster, const Job& job) {
    size_t spot_replicas = 0;
    for (const auto& [task, placement] : job.live)
        if (const Machine* machine = cluster.machine(placement.machine); machine && machine->spot)
            ++spot_replicas;
    return spot_replicas;
}

}  // namespace

void TaskMatcher::pull(const std::vector<QueuedJob>& jobs, Machine& machine) {
    while (Job* job = select_job(jobs, machine)) {
        if (job->spec.gang()) job->gang_attempt.number = job->next_attempt;
        pass_.bind(*job, *job->pending.first(), machine, job->next_attempt++);
    }
}

Job* TaskMatcher::select_job(const std::vector<QueuedJob>& jobs, Machine& machine) {
    Job* best = nullptr;
    double best_cached_gb = -1;
    const QueuedJob* first = nullptr;  // the first in the queue that fits
    for (const auto& queued : jobs) {
        Job& job = *queued.job;
        if (first &&
            (first->aged || job.accepted - first->job->accepted > pass_.input.settings.similar_age_s))
            break;
        if (!has_startable_task(queued, pass_.input.now)) continue;
        if (auto reason = reason_to_wait(job, machine)) {
            // Lack of room on this machine must not overwrite that the job waits for a machine with its
            // image.
            if (*reason != WaitReason::kNoRoom || job.wait.reason != WaitReason::kDelayedForImage)
                job.wait.reason = *reason;
            continue;
        }
        double cached_gb = machine.cache.has(job.spec.image) ? job.spec.image_gb : 0;
        if (!first) first = &queued;
        if (cached_gb > best_cached_gb) {
            best = &job;
            best_cached_gb = cached_gb;
        }
    }
    return best;
}

std::optional<WaitReason> TaskMatcher::reason_to_wait(const Job& job, const Machine& machine) {
    if (!quota_.within_limit(job.spec, 1)) return WaitReason::kTeamLimit;
    if (!fits(pass_, job, machine) || ZoneRule(job).remaining(machine.zone) == 0) return WaitReason::kNoRoom;
    const Machine* one[] = {&machine};
    if (!job.record_has_room(pass_.input.config, pass_.input.record_format, one))
        return WaitReason::kRecordFull;
    if (!machine.cache.has(job.spec.image) &&
        (pass_.input.now < job.image_preemption.until || should_wait_for_image(job, machine)))
        return WaitReason::kDelayedForImage;
    if (job.spec.service() && should_wait_for_spread(job, machine)) return WaitReason::kDelayedForSpread;
    return std::nullopt;
}

// A replica's downtime counts from the first second. It waits only if a machine with the image is likely to
// request work before the fetch would finish, and at most for a share of the fetch time.
bool TaskMatcher::should_wait_for_image(const Job& job, const Machine& requesting) {
    Seconds waited = pass_.input.now - job.wait.since;
    if (waited >= pass_.input.settings.hold_s) return false;
    if (!job.spec.service()) return count_machines_with_image(job, requesting, 1) > 0;
    const MachineType* type = pass_.cluster.machine_type(requesting.machine_type);
    Seconds fetch_s = type && type->fetch_gb_per_s > 0 ? job.spec.image_gb / type->fetch_gb_per_s : 0;
    if (waited >= constants::kReplicaImageWaitShare * fetch_s) return false;
    auto with_image = static_cast<double>(count_machines_with_image(job, requesting, UINT32_MAX));
    return with_image * fetch_s > pass_.input.config.heartbeat_interval_s;
}

uint32_t TaskMatcher::count_machines_with_image(const Job& job, const Machine& requesting,
                                                uint32_t max_count) {
    auto [it, inserted] = machines_with_image_.try_emplace(job.spec.image);
    std::vector<Machine*>& with_image = it->second;
    if (inserted) {
        pass_.count_steps(pass_.schedulable.size());
        for (Machine* machine : pass_.schedulable)
            if (machine->cache.has(job.spec.image)) with_image.push_back(machine);
    }
    uint32_t count = 0;
    for (const Machine* machine : with_image)
        if (count < max_count && machine != &requesting && fits(pass_, job, *machine) &&
            ZoneRule(job).remaining(machine->zone) > 0)
            ++count;
    return count;
}

// The accepted concentration grows with the waiting time: a machine that requests work now is better than
// one that might do so later.
bool TaskMatcher::should_wait_for_spread(const Job& job, const Machine& requesting) {
    size_t spot_replicas = count_spot_replicas(pass_.cluster, job);
    Seconds waited = pass_.input.now - job.wait.since;
    auto accepted_concentration = static_cast<size_t>(waited / constants::kReplicaSpreadWait_s);
    size_t concentration = replica_concentration(job, requesting, spot_replicas);
    if (concentration <= accepted_concentration) return false;
    ZoneRule rule(job);
    pass_.count_steps(pass_.schedulable.size());
    return std::any_of(pass_.schedulable.begin(), pass_.schedulable.end(), [&](const Machine* machine) {
        return machine != &requesting && fits(pass_, job, *machine) && rule.remaining(machine->zone) > 0 &&
               replica_concentration(job, *machine, spot_replicas) < concentration;
    });
}

}  // namespace hareshore

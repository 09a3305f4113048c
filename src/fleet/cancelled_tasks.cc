#include "fleet/cancelled_tasks.h"

#include <algorithm>
#include <map>

#include "base/constants.h"

namespace hareshore {

namespace {

// How long a leader that is new, or whose process was stalled, waits for the heartbeat of a machine with a
// task of this job. The wait ends early enough to delete the machine within cancel_s. A leader that begins
// after that has nothing to hurry for.
Seconds heartbeat_wait(const Job& job, const Config& config, Seconds receiving_since) {
    const Seconds silent_after = constants::kSilentAfterHeartbeatIntervals * config.heartbeat_interval_s;
    const Seconds must_end_at = job.cancelled_at + config.cancel_s;
    if (receiving_since >= must_end_at) return silent_after;
    const Seconds latest = must_end_at - constants::kCancelledTaskDeletionMargin_s;
    return std::min(silent_after, std::max(latest - receiving_since, constants::kMinHeartbeatWait_s));
}

DeletionCondition condition_for(const Job& job, const Machine& machine, const Config& config, Seconds now,
                                Seconds receiving_since) {
    if (machine.deleting) return DeletionCondition::kCloud;
    const Seconds expiry = config.certain_lease_expiry_s();
    if (now - job.cancelled_at <= expiry && now - machine.last_heartbeat <= expiry)
        return DeletionCondition::kLeaseExpiry;
    if (now - receiving_since <= heartbeat_wait(job, config, receiving_since))
        return DeletionCondition::kHeartbeats;
    return DeletionCondition::kNone;
}

}  // namespace

std::string_view deletion_condition_text(DeletionCondition condition) {
    switch (condition) {
        case DeletionCondition::kNone:
            return "nothing";
        case DeletionCondition::kLeaseExpiry:
            return "lease_expiry";
        case DeletionCondition::kHeartbeats:
            return "heartbeats";
        case DeletionCondition::kCloud:
            return "cloud";
    }
    return "";
}

std::vector<MachineWithCancelledTask> machines_with_cancelled_tasks(const Cluster& cluster,
                                                                    const JobTable& jobs,
                                                                    const Config& config, Seconds now,
                                                                    Seconds receiving_since) {
    std::map<std::string, MachineWithCancelledTask> found;  // by machine
    for (const auto& [id, job] : jobs.all()) {
        if (!job->cancelled) continue;
        for (const auto& [task, placement] : job->live) {
            auto entry = cluster.machines.find(placement.machine);
            if (entry == cluster.machines.end()) continue;
            const Machine& machine = *entry->second;
            MachineWithCancelledTask held{machine.name,
                                          {id, task},
                                          now - job->cancelled_at,
                                          condition_for(*job, machine, config, now, receiving_since)};
            auto [known, added] = found.try_emplace(machine.name, held);
            const bool first_due = known->second.waits_for != DeletionCondition::kNone &&
                                   held.waits_for == DeletionCondition::kNone;
            if (!added && first_due) known->second = held;
        }
    }
    std::vector<MachineWithCancelledTask> machines;
    machines.reserve(found.size());
    for (auto& [name, held] : found) machines.push_back(std::move(held));
    return machines;
}

Seconds assumed_cancellation_age(const Config& config) {
    return std::max(0.0, config.cancel_s - constants::kCancelledTaskDeletionMargin_s -
                             constants::kNewLeaderScalingDelay_s);
}

}  // namespace hareshore

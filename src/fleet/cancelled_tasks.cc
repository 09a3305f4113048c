#include "fleet/cancelled_tasks.h"

#include <map>

#include "base/constants.h"

namespace hareshore {

namespace {

class Deadlines {
  public:
    Deadlines(const Config& config, Seconds now, Seconds receiving_since)
        : lease_expiry_(config.lease_s * (1 + constants::kClockDriftRate) + constants::kLeaseExpiryMargin_s),
          silent_after_(constants::kSilentAfterHeartbeatIntervals * config.heartbeat_interval_s),
          now_(now),
          receiving_since_(receiving_since) {}

    [[nodiscard]] DeletionCondition condition(const Job& job, const Machine& machine) const {
        if (machine.deleting) return DeletionCondition::kCloud;
        if (now_ - receiving_since_ <= silent_after_) return DeletionCondition::kHeartbeats;
        // If this leader inherited the cancellation or learned of it late, the user may have been told
        // long before; then the time since the machine's last heartbeat counts.
        bool never_reported = job.cancelled_before_term && !machine.heartbeat_received;
        bool expired =
            now_ - machine.last_heartbeat > lease_expiry_ || now_ - job.cancellation_known_at > lease_expiry_;
        return never_reported || expired ? DeletionCondition::kNone : DeletionCondition::kLeaseExpiry;
    }

  private:
    Seconds lease_expiry_;
    Seconds silent_after_;
    Seconds now_;
    Seconds receiving_since_;
};

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
    const Deadlines deadlines(config, now, receiving_since);
    std::map<std::string, MachineWithCancelledTask> found;  // by machine
    for (const auto& [id, job] : jobs.all()) {
        if (!job->cancelled) continue;
        for (const auto& [task, placement] : job->live) {
            auto entry = cluster.machines.find(placement.machine);
            if (entry == cluster.machines.end()) continue;
            const Machine& machine = *entry->second;
            MachineWithCancelledTask held{machine.name,
                                          {id, task},
                                          now - job->cancellation_known_at,
                                          deadlines.condition(*job, machine)};
            auto [known, added] = found.try_emplace(machine.name, held);
            if (!added && held.waits_for == DeletionCondition::kNone) known->second = held;
        }
    }
    std::vector<MachineWithCancelledTask> machines;
    machines.reserve(found.size());
    for (auto& [name, held] : found) machines.push_back(std::move(held));
    return machines;
}

}  // namespace hareshore

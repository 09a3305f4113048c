#include "fleet/cancelled_tasks.h"

#include <algorithm>

#include "base/constants.h"

namespace hareshore {

std::vector<std::string> machines_with_cancelled_tasks(const Cluster& cluster, const JobTable& jobs,
                                                       const Config& config, Seconds now,
                                                       Seconds receiving_since) {
    std::vector<std::string> names;
    Seconds lease_expiry =
        config.lease_s * (1 + constants::kClockDriftRate) + constants::kLeaseExpiryMargin_s;
    Seconds silent_after = constants::kSilentAfterHeartbeatIntervals * config.heartbeat_interval_s;
    // A new leader, or one whose process was stalled, first waits for the heartbeats of its workers.
    if (now - receiving_since <= silent_after) return names;
    for (const auto& [id, job] : jobs.all()) {
        if (!job->cancelled) continue;
        for (const auto& [task, placement] : job->live) {
            auto entry = cluster.machines.find(placement.machine);
            if (entry == cluster.machines.end() || entry->second->deleting) continue;
            const Machine& machine = *entry->second;
            // If this leader inherited the cancellation or learned of it late, the user may have been told
            // long before; then the time since the machine's last heartbeat counts.
            bool never_reported = job->cancelled_before_term && !machine.heartbeat_received;
            if (never_reported || now - machine.last_heartbeat > lease_expiry ||
                now - job->cancellation_known_at > lease_expiry)
                names.push_back(machine.name);
        }
    }
    std::sort(names.begin(), names.end());
    names.erase(std::unique(names.begin(), names.end()), names.end());
    return names;
}

}  // namespace hareshore

#include "fleet/machine_health.h"

#include <algorithm>
#include <map>
#include <string>

#include "base/constants.h"

namespace hareshore {

namespace {

constexpr size_t kPartitionMinSilent = 3;  // fewer silent machines are no evidence of a partition

// The machines of a zone that should send heartbeats.
struct ZoneCount {
    size_t silent = 0;
    size_t total = 0;
};

}  // namespace

// Also counts machines that the cloud lists as running, so that a new leader detects a partition older than
// its term. All machines are counted before any is evaluated; otherwise those that became silent first
// would be deleted one by one.
void MachineHealth::find_partitioned_zones() {
    std::map<std::string, ZoneCount> zones;
    for (const auto& [name, machine] : context_.cluster.machines) {
        bool up =
            machine->heartbeat_received || (machine->listed && machine->phase == MachinePhase::kRunning);
        if (!up || machine->phase == MachinePhase::kFailed) continue;
        ZoneCount& count = zones[machine->zone];
        ++count.total;
        if (silent(*machine) || machine->unreachable_since) ++count.silent;
    }
    for (const auto& [zone, count] : zones)
        if (count.silent >= kPartitionMinSilent && count.silent * 2 > count.total)
            context_.plan.partitioned_zones.insert(zone);
}

void MachineHealth::scale_in_unhealthy() {
    for (const auto& [name, machine] : context_.cluster.machines) {
        if (machine->deleting) continue;
        bool failed = machine->phase == MachinePhase::kFailed;
        auto silent_reason = failed ? std::nullopt : reason_to_delete_silent(*machine);
        auto reason = silent_reason ? silent_reason : reason_to_delete(*machine);
        if (!reason) continue;
        context_.plan.scale_in.push_back({machine->name, *reason, silent_reason.has_value()});
        scaled_in_.insert(machine.get());
    }
}

std::optional<ScaleInReason> MachineHealth::reason_to_delete(const Machine& machine) const {
    if (machine.phase == MachinePhase::kFailed) return ScaleInReason::kFailed;
    // The tasks of a machine that receives no responses end at lease expiry; after that, deleting the
    // machine loses nothing.
    Seconds answers_lost_after = (partitioned(machine) ? 2 : 1) * context_.input.config.lease_s;
    if (machine.unreachable_since && context_.input.now - *machine.unreachable_since > answers_lost_after)
        return ScaleInReason::kAnswersLost;
    if (machine.draining && machine.idle()) return ScaleInReason::kDrained;
    if (machine.cordoned && machine.idle()) return ScaleInReason::kCordoned;
    return std::nullopt;
}

std::optional<ScaleInReason> MachineHealth::reason_to_delete_silent(const Machine& machine) const {
    bool in_partition = partitioned(machine);
    Seconds lease_s = context_.input.config.lease_s;
    Seconds timeout = in_partition ? constants::kPartitionTimeoutLeases * lease_s : unreachable_after();
    Seconds silent_for = time_since_heartbeat(machine);
    if (machine.phase == MachinePhase::kRunning && machine.heartbeat_received) {
        if (!machine.heartbeat_awaits_response && silent_for > timeout) return ScaleInReason::kUnreachable;
    } else if (machine.phase == MachinePhase::kRunning) {
        if (silent_for > timeout + (in_partition ? 0 : lease_s)) return ScaleInReason::kNeverReported;
    } else if (const MachineType* type = context_.cluster.machine_type(machine.machine_type)) {
        Seconds boot_timeout = constants::kBootTimeoutFactor * type->boot_s + constants::kBootTimeoutExtra_s;
        if (context_.input.now - machine.created_at > boot_timeout && silent_for > unreachable_after())
            return ScaleInReason::kBootTimeout;
    } else if (silent_for > timeout + lease_s) {
        return ScaleInReason::kUnlisted;
    }
    return std::nullopt;
}

// A heartbeat from before this leader's term may be a delayed copy, even from a machine that was deleted
// long ago. Until the machine adopts the current fencing token or the cloud lists it, it provides no
// capacity.
bool MachineHealth::provides_capacity(const Machine& machine) const {
    bool leaving = machine.deleting || machine.cordoned || machine.draining || machine.spot_reclaim_at ||
                   scaled_in_.contains(&machine);
    if (leaving || machine.phase == MachinePhase::kFailed) return false;
    if (machine.heartbeat_received && !machine.has_current_token && !machine.listed) return false;
    if (machine.unreachable_since) return false;
    return !partitioned(machine) || !silent(machine);
}

// Restarts at the end of a partition: when half of a zone sends heartbeats again, the others are still
// reconnecting and must not be deleted for silence that the partition caused.
Seconds MachineHealth::time_since_heartbeat(const Machine& machine) const {
    const ScalingInput& input = context_.input;
    Seconds since = std::max(machine.last_heartbeat, input.receiving_since);
    auto partition = input.partitioned_at.find(machine.zone);
    if (partition != input.partitioned_at.end() && !partitioned(machine))
        since = std::max(since, partition->second);
    return input.now - since;
}

bool MachineHealth::silent(const Machine& machine) const {
    return !machine.heartbeat_awaits_response &&
           time_since_heartbeat(machine) >
               constants::kSilentAfterHeartbeatIntervals * context_.input.config.heartbeat_interval_s;
}

Seconds MachineHealth::unreachable_after() const {
    return constants::kSilentAfterHeartbeatIntervals * context_.input.config.heartbeat_interval_s +
           constants::kWorkerFailover_s;
}

}  // namespace hareshore

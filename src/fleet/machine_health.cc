#include "fleet/machine_health.h"

#include <algorithm>
#include <map>
#include <string>

#include "base/constants.h"

namespace hareshore {

namespace {

constexpr size_t kPartitionMinSilent = 3;  // fewer silent machines do not show that a zone is cut off

// The machines of a zone that should report.
struct ZoneCount {
    size_t silent = 0;
    size_t known = 0;
};

}  // namespace

// Machines that the cloud lists as running count, too, so that a new leader sees a partition that is older
// than it. Counted before any machine is judged, lest the first to fall silent are deleted one by one.
void MachineHealth::find_partitioned_zones() {
    std::map<std::string, ZoneCount> zones;
    for (const auto& [name, machine] : context_.cluster.machines) {
        bool up =
            machine->heartbeat_received || (machine->listed && machine->phase == MachinePhase::kRunning);
        if (!up || machine->phase == MachinePhase::kFailed) continue;
        ZoneCount& count = zones[machine->zone];
        ++count.known;
        if (silent(*machine) || machine->unreachable_since) ++count.silent;
    }
    for (const auto& [zone, count] : zones)
        if (count.silent >= kPartitionMinSilent && count.silent * 2 > count.known)
            context_.plan.partitioned_zones.insert(zone);
}

void MachineHealth::scale_in_unhealthy() {
    for (const auto& [name, machine] : context_.cluster.machines) {
        if (machine->deleting) continue;
        bool failed = machine->phase == MachinePhase::kFailed;
        auto silence = failed ? std::nullopt : silence_reason(*machine);
        auto reason = silence ? silence : reason_to_delete(*machine);
        if (!reason) continue;
        context_.plan.scale_in.push_back({machine->name, *reason, silence.has_value()});
        scaled_in_.insert(machine.get());
    }
}

std::optional<ScaleInReason> MachineHealth::reason_to_delete(const Machine& machine) const {
    if (machine.phase == MachinePhase::kFailed) return ScaleInReason::kFailed;
    // What runs on a machine that gets no answers ends with its lease; then nothing is lost by deleting it.
    Seconds answers_lost_after = (partitioned(machine) ? 2 : 1) * context_.input.config.lease_s;
    if (machine.unreachable_since && context_.input.now - *machine.unreachable_since > answers_lost_after)
        return ScaleInReason::kAnswersLost;
    if (machine.draining && machine.idle()) return ScaleInReason::kDrained;
    if (machine.cordoned && machine.idle()) return ScaleInReason::kCordoned;
    return std::nullopt;
}

std::optional<ScaleInReason> MachineHealth::silence_reason(const Machine& machine) const {
    bool in_partition = partitioned(machine);
    Seconds lease_s = context_.input.config.lease_s;
    Seconds timeout = in_partition ? constants::kPartitionTimeoutLeases * lease_s : unreachable_after();
    Seconds silent_for = silence(machine);
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

// A report from before this leader's term may be a late copy, even of a machine long deleted: until the
// machine takes up the fencing token or the cloud lists it, it provides no capacity.
bool MachineHealth::provides_capacity(const Machine& machine) const {
    bool leaving = machine.deleting || machine.cordoned || machine.draining || machine.spot_reclaim_at ||
                   scaled_in_.contains(&machine);
    if (leaving || machine.phase == MachinePhase::kFailed) return false;
    if (machine.heartbeat_received && !machine.has_current_token && !machine.listed) return false;
    if (machine.unreachable_since) return false;
    return !partitioned(machine) || !silent(machine);
}

// Counted anew from the end of a partition: when half of a zone is heard again, the rest is still on its way,
// and was deleted at once for a silence that was the partition's.
Seconds MachineHealth::silence(const Machine& machine) const {
    const ScalingInput& input = context_.input;
    Seconds since = std::max(machine.last_heartbeat, input.leading_since);
    auto partition = input.partitioned_at.find(machine.zone);
    if (partition != input.partitioned_at.end() && !partitioned(machine))
        since = std::max(since, partition->second);
    return input.now - since;
}

bool MachineHealth::silent(const Machine& machine) const {
    return !machine.heartbeat_awaits_response &&
           silence(machine) >
               constants::kSilentAfterHeartbeatIntervals * context_.input.config.heartbeat_interval_s;
}

Seconds MachineHealth::unreachable_after() const {
    return constants::kSilentAfterHeartbeatIntervals * context_.input.config.heartbeat_interval_s +
           constants::kWorkerFailover_s;
}

}  // namespace hareshore

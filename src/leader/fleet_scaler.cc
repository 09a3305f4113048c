#include "leader/fleet_scaler.h"

#include <algorithm>

#include "base/constants.h"
#include "base/log.h"
#include "leader/machine_drain.h"

namespace hareshore {

namespace {

bool only_spot_jobs(const JobTable& jobs) {
    const auto& all = jobs.all();
    return !all.empty() &&
           std::all_of(all.begin(), all.end(), [](const auto& entry) { return entry.second->spec.spot; });
}

}  // namespace

Task<void> FleetScaler::run() {
    while (true) {
        const Seconds sleep_started_at = parts_.loop.now();
        co_await parts_.loop.sleep(constants::kScalingInterval_s);
        record_stall(parts_.loop.now() - sleep_started_at - constants::kScalingInterval_s);
        parts_.pass_requests.request();  // a delayed task may have become due
        delete_machines_with_cancelled_tasks();
        resend_stops_of_cancelled();
        if (may_scale()) scale();
    }
}

// A stalled process receives no heartbeats, so their absence during a stall does not count as silence.
void FleetScaler::record_stall(Seconds stalled_s) {
    if (stalled_s <= constants::kProcessStall_s) return;
    log::info("process_stalled", {{"stalled_s", stalled_s}});
    stalled_until_ = parts_.loop.now();
}

// Since when heartbeats could be received, so that a machine's silence from then on means that it sent none.
Seconds FleetScaler::receiving_since() const {
    return stalled_until_.value_or(parts_.lifecycle.loaded_at());
}

void FleetScaler::resend_stops_of_cancelled() {
    const Seconds now = parts_.loop.now();
    const Seconds interval = parts_.config.heartbeat_interval_s;
    if (stops_resent_at_ && now - *stops_resent_at_ < interval) return;
    stops_resent_at_ = now;
    parts_.jobs.resend_stops_of_cancelled(now - interval);
}

// This must also work without a confirmed lease, while the store is unavailable to all controllers. If no
// peer has seen a later term, there is no other leader whose work could be undone. Even if there were one,
// the deletion would be safe, since a deleted machine runs no task.
void FleetScaler::delete_machines_with_cancelled_tasks() {
    if (!parts_.leadership.lease_confirmed() && !parts_.leadership.no_other_leader()) return;
    std::vector<ScaleInDecision> decisions;
    for (auto& name : machines_with_cancelled_tasks(parts_.cluster, parts_.jobs, parts_.config,
                                                    parts_.loop.now(), receiving_since()))
        decisions.push_back({std::move(name), ScaleInReason::kHoldsCancelledTask, true});
    parts_.deletion.start(decisions);
}

// A leader that was partitioned or stalled may have been replaced. Renting and deleting machines by its
// outdated view would undo its successor's work: a leader that was partitioned for 120 s deleted the whole
// fleet.
bool FleetScaler::may_scale() const {
    if (!parts_.leadership.lease_confirmed() || parts_.cluster.machine_types.empty()) return false;
    // The cloud's machine list lags, so machines rented by an earlier leader appear in it only later.
    const bool first_term = parts_.fencing_token <= 1;
    return first_term || parts_.lifecycle.loaded_for() >= constants::kNewLeaderScalingDelay_s;
}

void FleetScaler::scale() {
    const Seconds now = parts_.loop.now();
    parts_.jobs.cordon_stragglers(parts_.cluster, now);
    parts_.jobs.move_replicas(parts_.cluster);
    ScalingInput input{parts_.config,
                       parts_.settings,
                       now,
                       receiving_since(),
                       parts_.rental.no_capacity_until(),
                       parts_.rental.pending(),
                       only_spot_jobs(parts_.jobs),
                       partitioned_at_};
    parts_.scheduling.recount_cluster();
    parts_.report.account_gpu_time(constants::kScalingInterval_s);
    const ScalingPlan plan = plan_scaling(parts_.cluster, parts_.jobs, input);
    log_partitions(plan);
    for (const auto& request : plan.scale_out) parts_.rental.start(request);
    parts_.deletion.start(plan.scale_in);
    drain_machines(plan);
    parts_.report.log_all();
}

void FleetScaler::log_partitions(const ScalingPlan& plan) {
    const Seconds now = parts_.loop.now();
    for (const auto& zone : plan.partitioned_zones) {
        auto [it, first] = partitioned_at_.try_emplace(zone, now);
        if (first || now - it->second > constants::kWaitLogInterval_s)
            log::info("zone_partitioned", {{"zone", zone}});
        it->second = now;
    }
}

void FleetScaler::drain_machines(const ScalingPlan& plan) {
    for (const auto& name : plan.drain) {
        Machine* machine = parts_.cluster.machine(name);
        if (!machine) continue;
        log::info("machine_draining",
                  {{"machine", name}, {"tasks", machine->placed_tasks}, {"reason", "consolidation"}});
        machine->draining = true;
        drain_machine(parts_.jobs, *machine);
    }
}

}  // namespace hareshore

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
        const Seconds sleep_started_at = dependencies_.loop.now();
        co_await dependencies_.loop.sleep(constants::kScalingInterval_s);
        record_stall(dependencies_.loop.now() - sleep_started_at - constants::kScalingInterval_s);
        dependencies_.pass_requests.request();  // a delayed task may have become due
        dependencies_.cancelled_task_reaper.run_once(receiving_since());
        if (may_scale()) scale();
    }
}

// A stalled process receives no heartbeats, so their absence during a stall does not count as silence.
void FleetScaler::record_stall(Seconds stalled_s) {
    if (stalled_s <= constants::kProcessStall_s) return;
    log::info("process_stalled", {{"stalled_s", stalled_s}});
    stalled_until_ = dependencies_.loop.now();
}

// Since when heartbeats could be received, so that a machine's silence from then on means that it sent none.
Seconds FleetScaler::receiving_since() const {
    return stalled_until_.value_or(dependencies_.lifecycle.loaded_at());
}

// A leader that was partitioned or stalled may have been replaced. Renting and deleting machines by its
// outdated view would undo its successor's work: a leader that was partitioned for 120 s deleted the whole
// fleet.
bool FleetScaler::may_scale() const {
    if (!dependencies_.leadership.lease_confirmed() || dependencies_.cluster.machine_types.empty())
        return false;
    // The cloud's machine list lags, so machines rented by an earlier leader appear in it only later.
    const bool first_term = dependencies_.fencing_token <= 1;
    return first_term || dependencies_.lifecycle.loaded_for() >= constants::kNewLeaderScalingDelay_s;
}

void FleetScaler::scale() {
    const Seconds now = dependencies_.loop.now();
    dependencies_.jobs.cordon_stragglers(dependencies_.cluster, now);
    dependencies_.jobs.move_replicas(dependencies_.cluster);
    ScalingInput input{dependencies_.config,
                       dependencies_.settings,
                       now,
                       receiving_since(),
                       dependencies_.rental.no_capacity_until(),
                       dependencies_.rental.pending(),
                       only_spot_jobs(dependencies_.jobs),
                       partitioned_at_};
    dependencies_.scheduling.recount_cluster();
    dependencies_.report.account_gpu_time(constants::kScalingInterval_s);
    const ScalingPlan plan = plan_scaling(dependencies_.cluster, dependencies_.jobs, input);
    log_partitions(plan);
    for (const auto& request : plan.scale_out) dependencies_.rental.start(request);
    dependencies_.deletion.start(plan.scale_in);
    drain_machines(plan);
    dependencies_.report.log_all();
}

void FleetScaler::log_partitions(const ScalingPlan& plan) {
    const Seconds now = dependencies_.loop.now();
    for (const auto& zone : plan.partitioned_zones) {
        auto [it, first] = partitioned_at_.try_emplace(zone, now);
        if (first || now - it->second > constants::kWaitLogInterval_s)
            log::info("zone_partitioned", {{"zone", zone}});
        it->second = now;
    }
}

void FleetScaler::drain_machines(const ScalingPlan& plan) {
    for (const auto& name : plan.drain) {
        Machine* machine = dependencies_.cluster.machine(name);
        if (!machine) continue;
        log::info("machine_draining",
                  {{"machine", name}, {"tasks", machine->placed_tasks}, {"reason", "consolidation"}});
        machine->draining = true;
        drain_machine(dependencies_.jobs, *machine);
    }
}

}  // namespace hareshore

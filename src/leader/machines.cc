// The leader's fleet: reading the cloud's lists, renting machines and returning them.
#include <algorithm>

#include "base/constants.h"
#include "base/log.h"
#include "cloud/cloud_wire.h"
#include "http/json_size.h"
#include "leader/leader.h"

namespace hareshore {

Task<void> Leader::read_prices() {
    while (true) {
        auto machine_types = co_await cloud_.machine_types();
        if (machine_types) {
            cluster_.machine_types = std::move(*machine_types);
            if (!machine_types_kept_) {
                // Kept for controllers that start while the cloud is away.
                std::string data = encode_machine_types(cluster_.machine_types);
                if (json_size(data) > config_.value_limit(kNewestRecordFormat)) {
                    log::info("machine_types_not_stored", {{"reason", "too_large"}});
                    machine_types_kept_ = true;
                } else {
                    Transaction txn;
                    txn.expect_revision(term_.key, term_.mod_revision).put(kMachineTypesKey, std::move(data));
                    TransactionResult r =
                        co_await state_.commit(std::move(txn), constants::kStoreCallTimeout_s);
                    machine_types_kept_ = r.status == StoreStatus::kOk || r.status == StoreStatus::kInvalid;
                }
            }
            co_await loop_.sleep(constants::kMachineTypesInterval_s);
        } else {
            co_await loop_.sleep(constants::kRetryBackoffMax_s);
        }
    }
}

Task<void> Leader::read_machines() {
    while (true) {
        Seconds asked = loop_.now();
        auto list = co_await cloud_.list_machines();
        if (list) {
            for (const auto& m : *list) {
                if (deleted_machines_.contains(m.name)) continue;
                Machine& h = cluster_.ensure(m.name, loop_.now());
                if (!h.listed) {
                    h.listed = true;
                    h.created_at = asked - m.age_s;
                    if (!h.reported) {
                        h.addr = m.addr;
                        h.machine_type = m.machine_type;
                        h.zone = m.zone;
                        h.spot = m.spot;
                    }
                }
                // Lists may be older than the one before: a machine goes forward only.
                if (m.phase > h.phase) h.phase = m.phase;
            }
        }
        co_await loop_.sleep(list ? constants::kMachineListInterval_s : constants::kRetryBackoffMax_s);
    }
}

bool Leader::kind_seen_spot_only() const {
    bool any = false;
    for (const auto& [id, j] : jobs_.all()) {
        any = true;
        if (!j->spec.spot) return false;
    }
    return any;
}

Task<void> Leader::run_fleet() {
    while (true) {
        Seconds slept = loop_.now();
        co_await loop_.sleep(constants::kScalingInterval_s);
        // Who stood still heard nobody: the machines were not silent, we did not listen.
        if (loop_.now() - slept > constants::kScalingInterval_s + constants::kProcessStall_s) {
            log::info("process_stalled",
                      {{"stalled_s", loop_.now() - slept - constants::kScalingInterval_s}});
            listening_since_ = loop_.now();
        }
        request_pass();  // time has passed: what was held may go
        return_machines_holding_cancelled();
        if (loop_.now() - stops_repeated_at_ >= config_.heartbeat_interval_s) {
            stops_repeated_at_ = loop_.now();
            jobs_.repeat_stops(loop_.now() - config_.heartbeat_interval_s);
        }
        // A leader that was cut off or stood still may have been followed by another: what it rents and
        // returns by its old view would undo the other's work. Cut off for 120 s, one returned the whole
        // fleet.
        if (!leadership_->confirmed()) continue;
        if (cluster_.machine_types.empty()) continue;
        // The machine list lags; what an earlier leader rented shows up only after that.
        if (term_.fencing_token > 1 && loop_.now() - loaded_at_ < constants::kNewLeaderScalingDelay_s)
            continue;
        jobs_.find_stragglers(cluster_, loop_.now());
        jobs_.move_replicas(cluster_, loop_.now());
        ScalingInput in{
            config_,        settings_, loop_.now(),           std::max(loaded_at_, listening_since_),
            refused_until_, on_order_, kind_seen_spot_only(), cut_at_};
        recount(cluster_, jobs_, loop_.now(), silent_after());  // without what is kept
        account(constants::kScalingInterval_s);
        ScalingPlan plan = plan_scaling(cluster_, jobs_, in);
        for (const auto& zone : plan.partitioned_zones) {
            if (loop_.now() - cut_at_[zone] > constants::kWaitLogInterval_s)
                log::info("zone_partitioned", {{"zone", zone}});
            cut_at_[zone] = loop_.now();
        }
        for (auto& r : plan.scale_out) {
            while (r.number > 0) {
                ScaleOutRequest part{r.kind, std::min(r.number, constants::kMachinesPerScaleOutRequest)};
                r.number -= part.number;
                on_order_.push_back(part);
                spawn(rent(part), "rent");
            }
        }
        return_machines(plan.scale_in);
        for (const auto& name : plan.drain) {
            Machine* h = cluster_.machine(name);
            if (!h) continue;
            log::info("machine_draining",
                      {{"machine", name}, {"tasks", h->placed_tasks}, {"reason", "consolidation"}});
            h->draining = true;
            drain(*h);
        }
        log_waiting();
        log_fleet();
    }
}

void Leader::return_machines(const std::vector<ScaleInDecision>& decisions) {
    std::vector<std::string> names;
    std::set<std::string> silent;
    auto send = [&] {
        if (!names.empty()) spawn(remove(std::exchange(names, {}), std::exchange(silent, {})), "return");
    };
    for (const auto& decision : decisions) {
        Machine* h = cluster_.machine(decision.machine);
        if (!h || h->deleting) continue;
        h->deleting = true;
        log::info("machine_returned",
                  {{"machine", decision.machine}, {"reason", scale_in_reason_text(decision.reason)}});
        names.push_back(decision.machine);
        if (decision.only_if_silent) silent.insert(decision.machine);
        if (names.size() == constants::kMachinesPerDeletionRequest) send();
    }
    send();
}

// Before anything is asked of the cloud.
Task<void> Leader::confirmation() {
    while (!leadership_->confirmed()) co_await loop_.sleep(constants::kRetryBackoff_s);
}

Task<void> Leader::rent(ScaleOutRequest rental) {
    // The epoch is never reused, so neither is the claim; it is repeated until its answer is known.
    std::string claim = "r-" + std::to_string(term_.fencing_token) + "-" + std::to_string(++claims_);
    const CreateMachinesRequest request{claim, rental.kind.machine_type, rental.kind.zone, rental.kind.spot,
                                        rental.number};
    Seconds pause = constants::kRetryBackoff_s;
    while (true) {
        co_await confirmation();
        CreateMachinesResult r = co_await cloud_.create_machines(request);
        if (r.outcome == CreateOutcome::kCreated || r.outcome == CreateOutcome::kNoCapacity) {
            for (const auto& name : r.machines) {
                if (deleted_machines_.contains(name)) continue;
                Machine& h = cluster_.ensure(name, loop_.now());
                if (h.reported) continue;
                h.machine_type = rental.kind.machine_type;
                h.zone = rental.kind.zone;
                h.spot = rental.kind.spot;
            }
            log::info("machines_rented", {{"rented", r.machines.size()},
                                          {"requested", rental.number},
                                          {"type", rental.kind.machine_type},
                                          {"zone", rental.kind.zone},
                                          {"spot", rental.kind.spot}});
            if (r.machines.size() < static_cast<size_t>(rental.number))
                refused_until_[rental.kind] = loop_.now() + constants::kNoCapacityRetry_s;
            break;
        }
        co_await loop_.sleep(pause);
        pause = std::min(pause * 2, constants::kRetryBackoffMax_s);
    }
    for (auto it = on_order_.begin(); it != on_order_.end(); ++it) {
        if (it->kind == rental.kind && it->number == rental.number) {
            on_order_.erase(it);
            break;
        }
    }
}

Task<void> Leader::remove(std::vector<std::string> names, std::set<std::string> silent) {
    Seconds pause = constants::kRetryBackoff_s;
    Seconds decided = loop_.now();
    bool perhaps = false;  // a request may have been carried out, or may yet be
    while (true) {
        // Whoever was silent and is heard before the cloud could be asked is kept.
        if (!perhaps)
            std::erase_if(names, [&](const std::string& name) {
                Machine* h = cluster_.machine(name);
                if (!h || !silent.contains(name) || h->last_heartbeat <= decided) return false;
                if (holds_cancelled(name)) return false;
                log::info("machine_kept", {{"machine", name}, {"reason", "reported_again"}});
                h->deleting = false;
                return true;
            });
        if (names.empty()) co_return;
        std::vector<std::string> asked;
        if (leadership_->confirmed()) {
            asked = names;
        } else if (leadership_->no_other_leader()) {
            for (const auto& name : names)
                if (holds_cancelled(name)) asked.push_back(name);
        }
        if (asked.empty()) {
            co_await loop_.sleep(constants::kRetryBackoff_s);
            continue;
        }
        DeleteOutcome r = co_await cloud_.delete_machines(asked);
        if (r == DeleteOutcome::kDeleted) {
            gone(asked);
            std::erase_if(names, [&](const std::string& name) { return deleted_machines_.contains(name); });
            continue;
        }
        perhaps = perhaps || r == DeleteOutcome::kUnknown;
        co_await loop_.sleep(pause);
        pause = std::min(pause * 2, constants::kRetryBackoffMax_s);
    }
}

// Their deletion was confirmed.
void Leader::gone(const std::vector<std::string>& names) {
    for (const auto& name : names) {
        jobs_.machine_deleted(name, loop_.now());
        cluster_.machines.erase(name);
        worker_connections_.erase(name);  // wakes what waits on it
        if (deleted_machines_.insert(name).second) deleted_machines_order_.push_back(name);
        if (deleted_machines_order_.size() > constants::kDeletedMachinesKept) {
            deleted_machines_.erase(deleted_machines_order_.front());
            deleted_machines_order_.pop_front();
        }
    }
    request_pass();
}

bool Leader::holds_cancelled(const std::string& machine) const {
    const auto& tasks = jobs_.on_machine(machine);
    return std::any_of(tasks.begin(), tasks.end(), [](const PlacedTask& r) { return r.job->cancelled; });
}

// In an outage of the state service for all this cannot wait for a confirmation. Where every peer knows
// of no later leader there is none whose work could be undone; and no rule breaks if there were, since a
// machine that is deleted runs nothing.
void Leader::return_machines_holding_cancelled() {
    if (!leadership_->confirmed() && !leadership_->no_other_leader()) return;
    std::vector<ScaleInDecision> decisions;
    for (auto& name : machines_holding_cancelled(cluster_, jobs_, config_, loop_.now(),
                                                 std::max(loaded_at_, listening_since_)))
        decisions.push_back({std::move(name), ScaleInReason::kHoldsCancelledTask, true});
    return_machines(decisions);
}

size_t Leader::machines_seen() const {
    return static_cast<size_t>(std::count_if(cluster_.machines.begin(), cluster_.machines.end(),
                                             [](const auto& h) { return h.second->reported; }));
}

}  // namespace hareshore

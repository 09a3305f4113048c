#include "leader/machine_deletion.h"

#include <algorithm>
#include <utility>

#include "base/constants.h"
#include "base/log.h"

namespace hareshore {

void MachineDeletion::start(const ScalingPlan& plan) {
    std::vector<std::string> names;
    std::set<std::string> silent;
    auto start_portion = [&] {
        if (names.empty()) return;
        parts_.lifecycle.spawn(delete_machines(std::exchange(names, {}), std::exchange(silent, {})), "return",
                               Priority::kNormal);
    };
    for (const auto& name : plan.scale_in) {
        Machine* machine = parts_.cluster.machine(name);
        if (!machine || machine->deleting) continue;
        machine->deleting = true;
        log::info("machine_returned", {{"machine", name}, {"reason", plan.reasons.at(name)}});
        names.push_back(name);
        if (plan.silent.contains(name)) silent.insert(name);
        if (names.size() == constants::kMachinesPerDeletionRequest) start_portion();
    }
    start_portion();
}

Task<void> MachineDeletion::delete_machines(std::vector<std::string> names, std::set<std::string> silent) {
    Seconds pause = constants::kRetryBackoff_s;
    const Seconds decided_at = parts_.loop.now();
    bool maybe_executed = false;  // a request may have been executed, or may yet be
    while (true) {
        // A machine that was silent and reports before the cloud could be asked is kept.
        if (!maybe_executed)
            std::erase_if(names, [&](const std::string& name) {
                if (!silent.contains(name) || !reported_again(name, decided_at)) return false;
                log::info("machine_kept", {{"machine", name}, {"reason", "reported_again"}});
                parts_.cluster.machine(name)->deleting = false;
                return true;
            });
        if (names.empty()) co_return;
        const std::vector<std::string> allowed = allowed_now(names);
        if (allowed.empty()) {
            co_await parts_.loop.sleep(constants::kRetryBackoff_s);
            continue;
        }
        const DeleteOutcome result = co_await parts_.cloud.delete_machines(allowed);
        if (result == DeleteOutcome::kDeleted) {
            confirm_deleted(allowed);
            std::erase_if(names,
                          [&](const std::string& name) { return parts_.deleted_machines.contains(name); });
            continue;
        }
        maybe_executed = maybe_executed || result == DeleteOutcome::kUnknown;
        co_await parts_.loop.sleep(pause);
        pause = std::min(pause * 2, constants::kRetryBackoffMax_s);
    }
}

// A machine with a task of a cancelled job is deleted all the same.
bool MachineDeletion::reported_again(const std::string& name, Seconds decided_at) const {
    const Machine* machine = parts_.cluster.machine(name);
    return machine && machine->last_heartbeat > decided_at && !holds_cancelled_task(name);
}

// In an outage of the store for all, the deletion of a machine that holds cancelled work cannot wait for a
// confirmed lease.
std::vector<std::string> MachineDeletion::allowed_now(const std::vector<std::string>& names) const {
    if (parts_.leadership.lease_confirmed()) return names;
    std::vector<std::string> allowed;
    if (!parts_.leadership.no_other_leader()) return allowed;
    std::copy_if(names.begin(), names.end(), std::back_inserter(allowed),
                 [&](const std::string& name) { return holds_cancelled_task(name); });
    return allowed;
}

void MachineDeletion::confirm_deleted(const std::vector<std::string>& names) {
    for (const auto& name : names) {
        parts_.jobs.machine_deleted(name, parts_.loop.now());
        parts_.cluster.machines.erase(name);
        parts_.connections.erase(name);
        parts_.deleted_machines.add(name);
    }
    parts_.pass_requests.request();
}

bool MachineDeletion::holds_cancelled_task(const std::string& name) const {
    const auto& tasks = parts_.jobs.on_machine(name);
    return std::any_of(tasks.begin(), tasks.end(),
                       [](const PlacedTask& placed) { return placed.job->cancelled; });
}

}  // namespace hareshore

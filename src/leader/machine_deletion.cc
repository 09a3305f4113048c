#include "leader/machine_deletion.h"

#include <algorithm>
#include <utility>

#include "base/constants.h"
#include "base/log.h"

namespace hareshore {

void MachineDeletion::start(const std::vector<ScaleInDecision>& decisions) {
    std::vector<std::string> names;
    std::set<std::string> only_if_silent;
    auto start_batch = [&] {
        if (names.empty()) return;
        dependencies_.lifecycle.spawn(
            delete_machines(std::exchange(names, {}), std::exchange(only_if_silent, {})), "return",
            Priority::kNormal);
    };
    for (const auto& decision : decisions) {
        Machine* machine = dependencies_.cluster.machine(decision.machine);
        if (!machine || machine->deleting) continue;
        machine->deleting = true;
        log::info("machine_returned",
                  {{"machine", decision.machine}, {"reason", scale_in_reason_text(decision.reason)}});
        names.push_back(decision.machine);
        if (decision.only_if_silent) only_if_silent.insert(decision.machine);
        if (names.size() == constants::kMachinesPerDeletionRequest) start_batch();
    }
    start_batch();
}

Task<void> MachineDeletion::delete_machines(std::vector<std::string> names,
                                            std::set<std::string> only_if_silent) {
    Seconds pause = constants::kRetryBackoff_s;
    const Seconds decided_at = dependencies_.loop.now();
    bool may_have_executed = false;  // a request without a response may have been executed, or may still be
    while (true) {
        // Keeps each silent machine that has sent a heartbeat before the cloud received any request.
        if (!may_have_executed)
            std::erase_if(names, [&](const std::string& name) {
                if (!only_if_silent.contains(name) || !should_keep(name, decided_at)) return false;
                log::info("machine_kept", {{"machine", name}, {"reason", "reported_again"}});
                dependencies_.cluster.machine(name)->deleting = false;
                return true;
            });
        if (names.empty()) co_return;
        const std::vector<std::string> deletable = deletable_now(names);
        if (deletable.empty()) {
            co_await dependencies_.loop.sleep(constants::kRetryBackoff_s);
            continue;
        }
        const DeleteOutcome result = co_await dependencies_.cloud.delete_machines(deletable);
        if (result == DeleteOutcome::kDeleted) {
            apply_deletion(deletable);
            std::erase_if(names, [&](const std::string& name) {
                return dependencies_.deleted_machines.contains(name);
            });
            continue;
        }
        may_have_executed = may_have_executed || result == DeleteOutcome::kUnknown;
        co_await dependencies_.loop.sleep(pause);
        pause = std::min(pause * 2, constants::kRetryBackoffMax_s);
    }
}

// Whether a machine that was silent at `decided_at` has since sent a heartbeat and may be kept. One that
// has a task of a cancelled job is deleted nevertheless.
bool MachineDeletion::should_keep(const std::string& name, Seconds decided_at) const {
    const Machine* machine = dependencies_.cluster.machine(name);
    return machine && machine->last_heartbeat > decided_at && !has_cancelled_task(name);
}

// Deletions require a confirmed lease, except for machines with a task of a cancelled job: while the store is
// unavailable to all controllers, these cannot wait for it.
std::vector<std::string> MachineDeletion::deletable_now(const std::vector<std::string>& names) const {
    if (dependencies_.leadership.lease_confirmed()) return names;
    std::vector<std::string> allowed;
    if (!dependencies_.leadership.no_other_leader()) return allowed;
    std::copy_if(names.begin(), names.end(), std::back_inserter(allowed),
                 [&](const std::string& name) { return has_cancelled_task(name); });
    return allowed;
}

void MachineDeletion::apply_deletion(const std::vector<std::string>& names) {
    for (const auto& name : names) {
        dependencies_.jobs.on_machine_deleted(name, dependencies_.loop.now());
        dependencies_.cluster.machines.erase(name);
        dependencies_.connections.erase(name);
        dependencies_.deleted_machines.add(name);
    }
    dependencies_.pass_requests.request();
}

bool MachineDeletion::has_cancelled_task(const std::string& name) const {
    const auto& tasks = dependencies_.jobs.placements_on(name);
    return std::any_of(tasks.begin(), tasks.end(),
                       [](const PlacedTask& placed) { return placed.job->cancelled; });
}

}  // namespace hareshore

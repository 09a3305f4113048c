#include "leader/cancelled_task_reaper.h"

#include "base/constants.h"
#include "base/log.h"

namespace hareshore {

void CancelledTaskReaper::run_once(Seconds receiving_since) {
    delete_machines(receiving_since);
    resend_stops();
}

// This must also work without a confirmed lease, while the store is unavailable to all controllers. If no
// peer has seen a later term, there is no other leader whose work could be undone. Even if there were one,
// the deletion would be safe, since a deleted machine runs no task.
void CancelledTaskReaper::delete_machines(Seconds receiving_since) {
    const Leadership& leadership = dependencies_.leadership;
    const bool may_delete = leadership.lease_confirmed() || leadership.no_other_leader();
    const auto machines =
        machines_with_cancelled_tasks(dependencies_.cluster, dependencies_.jobs, dependencies_.config,
                                      dependencies_.loop.now(), receiving_since);
    log_remaining(machines, may_delete, receiving_since);
    if (!may_delete) return;
    std::vector<ScaleInDecision> decisions;
    for (const auto& held : machines)
        if (held.waits_for == DeletionCondition::kNone)
            decisions.push_back({held.machine, ScaleInReason::kHoldsCancelledTask, true});
    dependencies_.deletion.start(decisions);
}

// A task on a machine that receives commands ends within a heartbeat interval and is not logged.
void CancelledTaskReaper::log_remaining(const std::vector<MachineWithCancelledTask>& machines,
                                        bool may_delete, Seconds receiving_since) {
    const Seconds now = dependencies_.loop.now();
    std::map<std::string, LoggedCondition> logged;
    for (const auto& held : machines) {
        if (held.cancelled_for <= dependencies_.config.heartbeat_interval_s) continue;
        const bool lacks_leadership = held.waits_for == DeletionCondition::kNone && !may_delete;
        LoggedCondition condition{
            lacks_leadership ? "confirmed_leadership" : deletion_condition_text(held.waits_for), now};
        auto previous = logged_.find(held.machine);
        const bool log_due = previous == logged_.end() || previous->second.text != condition.text ||
                             now - previous->second.logged_at >= constants::kWaitLogInterval_s;
        if (log_due) {
            log::info("cancelled_task_remains", {{"task", held.task.text()},
                                                 {"machine", held.machine},
                                                 {"cancelled_s", held.cancelled_for},
                                                 {"receiving_s", now - receiving_since},
                                                 {"waits_for", condition.text}});
        } else {
            condition.logged_at = previous->second.logged_at;
        }
        logged.emplace(held.machine, condition);
    }
    logged_ = std::move(logged);
}

void CancelledTaskReaper::resend_stops() {
    const Seconds now = dependencies_.loop.now();
    const Seconds interval = dependencies_.config.heartbeat_interval_s;
    if (stops_resent_at_ && now - *stops_resent_at_ < interval) return;
    stops_resent_at_ = now;
    dependencies_.jobs.resend_stops_of_cancelled(now - interval);
}

}  // namespace hareshore

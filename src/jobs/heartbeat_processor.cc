#include "jobs/heartbeat_processor.h"

#include <algorithm>
#include <utility>

#include "base/constants.h"
#include "base/log.h"
#include "jobs/failure_accounting.h"
#include "jobs/task_lifecycle.h"

namespace hareshore {

namespace {

// Whether the machine refused the launch, in which case it has not fetched the image.
bool launch_refused(ExitCause cause) {
    return cause == ExitCause::kNoRoom || cause == ExitCause::kBusy || cause == ExitCause::kUnknownJob;
}

// Whether the task's image is cached on the machine.
bool has_image(const TaskStatus& status) {
    return status.phase != TaskPhase::kFetching && !launch_refused(status.cause);
}

bool is_exit(const TaskStatus& status) {
    return status.phase == TaskPhase::kExited;
}

// Whether the status is the success of an attempt that is no longer placed. The task is done nevertheless.
bool is_abandoned_result(const Job& job, const TaskStatus& status) {
    return is_exit(status) && status.cause == ExitCause::kDone && !job.spec.service() &&
           status.name.task < job.spec.tasks &&
           transition(task_state(job, status.name.task), TaskEvent::kAbandonedResult)
               .moves_to(TaskState::kDone);
}

// Whether a task of the gang other than this one fetches its image, as far as is known.
bool other_task_fetches(const Job& job, uint32_t task) {
    return std::any_of(job.live.begin(), job.live.end(), [&](const auto& entry) {
        const Placement& placement = entry.second;
        bool known = placement.acknowledged || placement.from_earlier_leader;
        return entry.first != task && known && !placement.stopping && placement.phase == TaskPhase::kFetching;
    });
}

}  // namespace

std::vector<MachineTask>::const_iterator find_attempt(const std::vector<MachineTask>& tasks, size_t hint,
                                                      const TaskName& name, uint64_t attempt) {
    auto matches = [&](const MachineTask& task) { return task.attempt == attempt && task.name == name; };
    if (hint < tasks.size() && matches(tasks[hint])) return tasks.begin() + static_cast<long>(hint);
    return std::find_if(tasks.begin(), tasks.end(), matches);
}

bool JobTable::apply_heartbeat(Cluster& cluster, Machine& machine, const WorkerHeartbeat& heartbeat,
                               Absence absence, Seconds now) {
    return HeartbeatProcessor(*this, cluster, machine, heartbeat, absence, now).run();
}

bool HeartbeatProcessor::run() {
    previous_tasks_ = std::exchange(machine_.tasks, {});
    changed_ = previous_tasks_.size() != heartbeat_.tasks.size();
    machine_.tasks.reserve(heartbeat_.tasks.size());
    apply_machine_state();
    for (const auto& status : heartbeat_.tasks) apply_task_status(status);
    if (absence_ == Absence::kProven) handle_absent_tasks();
    return changed_;
}

void HeartbeatProcessor::apply_machine_state() {
    machine_.usage_valid = false;
    machine_.incarnation = heartbeat_.incarnation;
    machine_.sequence = heartbeat_.sequence;
    machine_.addr = heartbeat_.addr;
    machine_.machine_type = heartbeat_.machine_type;
    machine_.zone = heartbeat_.zone;
    machine_.spot = heartbeat_.spot;
    machine_.phase = MachinePhase::kRunning;
    if (!heartbeat_.notice_s || machine_.spot_reclaim_at) return;
    machine_.spot_reclaim_at = now_ + *heartbeat_.notice_s;
    log::info("spot_notice", {{"machine", machine_.name}, {"remaining_s", *heartbeat_.notice_s}});
}

void HeartbeatProcessor::apply_task_status(const TaskStatus& status) {
    auto previous = find_attempt(previous_tasks_, machine_.tasks.size(), status.name, status.attempt);
    bool listed_before = previous != previous_tasks_.end();
    bool known_exit = listed_before && previous->phase == TaskPhase::kExited;
    if (!listed_before || previous->phase != status.phase) changed_ = true;
    MachineTask task = listed_before ? *previous : MachineTask{};
    task.name = status.name;
    task.attempt = status.attempt;
    task.phase = status.phase;
    task.cause = status.cause;
    if (Job* job = table_.find(status.name.job)) apply_status_of_known_job(*job, status, known_exit, task);
    machine_.tasks.push_back(std::move(task));
}

void HeartbeatProcessor::apply_status_of_known_job(Job& job, const TaskStatus& status, bool known_exit,
                                                   MachineTask& task) {
    task.size_known = true;
    task.amount = Resources::of(job.spec);
    task.team = job.spec.team;
    if (has_image(status) && !known_exit) machine_.cache.use(job.spec.image, job.spec.image_gb);

    auto entry = job.live.find(status.name.task);
    bool is_placed = entry != job.live.end() && entry->second.machine == machine_.name &&
                     entry->second.attempt == status.attempt;
    if (is_placed && may_precede_replacement(job, entry->second, status, known_exit)) is_placed = false;

    if (is_placed) {
        handle_present_task(job, entry->second, status);
        if (!is_exit(status)) return;
        handle_exited_task(job, status);
    } else if (is_abandoned_result(job, status)) {
        table_.complete(job, status.name.task, now_);
    } else if (!is_exit(status) || known_exit) {
        return;
    }
    task.exit_version = job.persistence.version;
}

// A replacement task of a gang may be bound to a machine on which a task of the same attempt has exited. The
// machine lists that exit until it has forgotten it, and at a new leader a late heartbeat may list it
// although the replacement has been launched since.
bool HeartbeatProcessor::may_precede_replacement(const Job& job, const Placement& placement,
                                                 const TaskStatus& status, bool known_exit) const {
    if (known_exit && !placement.acknowledged) return true;
    return job.spec.gang() && placement.from_earlier_leader && absence_ == Absence::kUnproven &&
           is_exit(status) && status.cause != ExitCause::kDone;
}

void HeartbeatProcessor::handle_present_task(Job& job, Placement& placement, const TaskStatus& status) {
    present_.push_back(&placement);
    if (placement.phase != status.phase || !placement.acknowledged)
        log::debug("task_phase", {{"task", status.name.text()},
                                  {"attempt", status.attempt},
                                  {"machine", machine_.name},
                                  {"phase", task_phase_name(status.phase)}});
    if (status.phase == TaskPhase::kRunning) {
        if (!placement.running_since) placement.running_since = now_;
        if (job.spec.service()) account_running_replica(job, placement, now_);
    }
    // The task was launched, so a response reached the machine.
    if (!placement.acknowledged && placement.launch.responses > 0) machine_.unreachable_since.reset();
    placement.acknowledged = true;
    placement.phase = status.phase;
    if (job.spec.gang()) observe_gang_start(job, status.phase);
}

void HeartbeatProcessor::observe_gang_start(Job& job, TaskPhase phase) {
    GangAttempt& attempt = job.gang_attempt;
    if (phase == TaskPhase::kFetching || phase == TaskPhase::kWaiting) {
        if (attempt.start == GangStart::kUnknown) attempt.start = GangStart::kNotStarted;
    } else if (phase == TaskPhase::kRunning || phase == TaskPhase::kSaving) {
        attempt.start = GangStart::kStarted;
        if (job.pending.empty() || attempt.broken || job.cancelled) return;
        // It runs without one of its tasks, which none can replace any more.
        attempt.broken = true;
        table_.stop_gang(job, 0);
    }
}

void HeartbeatProcessor::handle_exited_task(Job& job, const TaskStatus& status) {
    uint32_t task = status.name.task;
    log::debug("task_exited", {{"task", status.name.text()},
                               {"attempt", status.attempt},
                               {"machine", machine_.name},
                               {"cause", exit_cause_name(status.cause)}});
    if (job.spec.service()) {
        account_replica_exit(cluster_, machine_, job, task, status.cause, now_);
        table_.release(job, task, now_);
        return;
    }
    if (status.cause == ExitCause::kDone) {
        machine_.failed_jobs.clear();
        record_run_time(job, task);
        table_.complete(job, task, now_);
        return;
    }
    if (status.cause == ExitCause::kError) account_task_error(cluster_, machine_, job, now_);
    if (launch_refused(status.cause))
        log::info("launch_refused", {{"task", status.name.text()},
                                     {"machine", machine_.name},
                                     {"cause", exit_cause_name(status.cause)}});
    if (job.spec.gang()) break_gang_on_exit(job, task, status.cause);
    table_.release(job, task, now_);
    // The other tasks of a gang that is being stopped may still be saving; those of a failed one cannot save.
    bool stopped_by_command = status.cause == ExitCause::kStopped;
    if (job.spec.gang() && job.gang_attempt.broken && !job.cancelled && !stopped_by_command)
        table_.stop_gang(job, 0);
}

void HeartbeatProcessor::record_run_time(Job& job, uint32_t task) {
    const Placement& placement = job.live.at(task);
    if (!job.spec.gang() && placement.running_since && job.run_times.counts(task))
        job.run_times.add(placement.run_time(now_));
}

void HeartbeatProcessor::break_gang_on_exit(Job& job, uint32_t task, ExitCause cause) {
    GangAttempt& attempt = job.gang_attempt;
    // The task has waited for its peers until now.
    if (cause == ExitCause::kIncomplete && attempt.start == GangStart::kUnknown)
        attempt.start = GangStart::kNotStarted;
    // A started gang that loses a task ends. Before the start a replacement task may complete the gang. If
    // the task failed or timed out while waiting for its peers, the attempt is continued only for the sake of
    // a fetch: ended with the attempt, the fetch would begin anew in the next one, and as its peers would
    // time out again, the gang would never start.
    bool ends_attempt = attempt.started() || cause == ExitCause::kPeersGone;
    bool failed = cause == ExitCause::kIncomplete || cause == ExitCause::kError;
    if (ends_attempt || (failed && !other_task_fetches(job, task))) attempt.broken = true;
}

void HeartbeatProcessor::handle_absent_tasks() {
    auto tasks = table_.placements_on(machine_.name);  // a copy, because releases change the original
    for (const auto& [job, task, placement] : tasks) {
        if (std::find(present_.begin(), present_.end(), placement) != present_.end()) continue;
        auto entry = job->live.find(task);
        if (entry != job->live.end()) handle_absent_task(*job, task, entry->second);
    }
}

void HeartbeatProcessor::handle_absent_task(Job& job, uint32_t task, const Placement& placement) {
    // An uncommitted placement has not been launched, so its absence proves nothing.
    if (!placement.from_earlier_leader && !job.persistence.committed(placement.job_version)) return;
    // A newer heartbeat without the task voids every launch sent earlier, because a worker has one heartbeat
    // in flight and ignores responses to older ones.
    const LaunchAttempts& launch = placement.launch;
    if (launch.sent() && !heartbeat_.newer_than(launch.incarnation, launch.sequence)) return;
    // Several responses carried the launch without effect. On a machine that does not receive responses the
    // task would wait forever.
    if (launch.responses >= constants::kUnansweredLaunchLimit && !machine_.unreachable_since) {
        machine_.unreachable_since = now_;
        log::info("machine_unreachable", {{"machine", machine_.name}, {"reason", "launches_without_effect"}});
    }
    bool given_up = machine_.unreachable_since || (placement.from_earlier_leader && job.spec.gang());
    TaskEvent event = given_up ? TaskEvent::kLaunchGivenUp : TaskEvent::kAbsent;
    if (!transition(placed_state(job, placement), event).moves_to(TaskState::kPending)) return;
    changed_ = true;
    if (job.spec.gang() && job.gang_attempt.started()) job.gang_attempt.broken = true;
    table_.release(job, task, now_);
    if (job.spec.gang() && job.gang_attempt.broken && !job.cancelled) table_.stop_gang(job, 0);
}

}  // namespace hareshore

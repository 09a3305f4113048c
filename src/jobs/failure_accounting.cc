#include "jobs/failure_accounting.h"

#include <algorithm>

#include "base/constants.h"
#include "base/log.h"

namespace hareshore {

namespace {

constexpr size_t kBackoffAfterMachines = 2;  // a failure on one machine alone may be the machine's

// Notes the machine. A job that thereby becomes failing no longer counts against any machine.
void add_failed_machine(Cluster& cluster, const Machine& machine, Job& job) {
    job.failures.machines.insert(machine.name);
    if (job.failures.failing ||
        job.failures.machines.size() < static_cast<size_t>(constants::kFailingAfterMachines))
        return;
    job.failures.failing = true;
    log::info("job_marked_failing", {{"job", job.spec.id}, {"machines", job.failures.machines.size()}});
    for (auto& [name, other] : cluster.machines) other->failed_jobs.erase(job.spec.id);
}

void hold_against_machine(Machine& machine, const Job& job) {
    machine.failed_jobs.insert(job.spec.id);
    if (machine.cordoned ||
        machine.failed_jobs.size() < static_cast<size_t>(constants::kCordonAfterFailedJobs))
        return;
    machine.cordoned = true;
    machine.cordon_reason = "tasks of different jobs fail on it";
    log::info("machine_cordoned", {{"machine", machine.name}, {"reason", machine.cordon_reason}});
}

}  // namespace

void account_task_error(Cluster& cluster, Machine& machine, Job& job, Seconds now) {
    JobFailures& failures = job.failures;
    add_failed_machine(cluster, machine, job);
    if (failures.machines.size() >= kBackoffAfterMachines) {
        failures.backoff_s =
            std::clamp(failures.backoff_s * 2, constants::kJobBackoff_s, constants::kJobBackoffMax_s);
        failures.retry_at = now + failures.backoff_s;
    }
    if (!failures.failing) hold_against_machine(machine, job);
}

void account_replica_exit(Cluster& cluster, Machine& machine, Job& job, uint32_t task, ExitCause cause,
                          Seconds now) {
    if (cause == ExitCause::kStopped || job.cancelled) return;
    Seconds ran = job.live.at(task).ran(now);
    log::info("replica_ended", {{"job", job.spec.id},
                                {"task", task},
                                {"machine", machine.name},
                                {"ran_s", ran},
                                {"cause", exit_cause_name(cause)}});
    if (ran >= constants::kReplicaStableRun_s) return;
    JobFailures& failures = job.failures;
    failures.last_quick_exit_at = now;
    add_failed_machine(cluster, machine, job);
    if (++failures.quick_exits > constants::kReplicaImmediateRestarts) {
        // Replicas that end together count as one: a pause runs already.
        if (now >= failures.retry_at)
            failures.backoff_s = std::clamp(failures.backoff_s * 2, constants::kReplicaBackoff_s,
                                            constants::kReplicaBackoffMax_s);
        failures.retry_at = now + failures.backoff_s;
    }
    if (!failures.failing && cause == ExitCause::kError) hold_against_machine(machine, job);
}

void account_running_replica(Job& job, const Placement& replica, Seconds now) {
    // What was started since the last quick exit and runs steadily shows that replicas stay again.
    bool since_last_exit =
        !job.failures.last_quick_exit_at || replica.bound_at >= *job.failures.last_quick_exit_at;
    if (since_last_exit && replica.ran(now) >= constants::kReplicaStableRun_s)
        job.failures.clear_quick_exits();
}

}  // namespace hareshore

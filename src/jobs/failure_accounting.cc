#include "jobs/failure_accounting.h"

#include <algorithm>

#include "base/constants.h"
#include "base/log.h"

namespace hareshore {

namespace {

constexpr size_t kBackoffAfterMachines = 2;  // failures on a single machine may be the machine's fault

// Records that the job failed on the machine. A job that becomes failing no longer counts against machines.
void record_failed_machine(Cluster& cluster, const Machine& machine, Job& job) {
    job.failures.machines.insert(machine.name);
    if (job.failures.failing ||
        job.failures.machines.size() < static_cast<size_t>(constants::kFailingAfterMachines))
        return;
    job.failures.failing = true;
    log::info("job_marked_failing", {{"job", job.spec.id}, {"machines", job.failures.machines.size()}});
    for (auto& [name, other] : cluster.machines) other->failed_jobs.erase(job.spec.id);
}

void record_machine_failure(Machine& machine, const Job& job) {
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
    record_failed_machine(cluster, machine, job);
    if (failures.machines.size() >= kBackoffAfterMachines) {
        failures.backoff_s =
            std::clamp(failures.backoff_s * 2, constants::kJobBackoff_s, constants::kJobBackoffMax_s);
        failures.retry_at = now + failures.backoff_s;
    }
    if (!failures.failing) record_machine_failure(machine, job);
}

void account_replica_exit(Cluster& cluster, Machine& machine, Job& job, uint32_t task, ExitCause cause,
                          Seconds now) {
    if (cause == ExitCause::kStopped || job.cancelled) return;
    Seconds run_time = job.live.at(task).run_time(now);
    log::info("replica_ended", {{"job", job.spec.id},
                                {"task", task},
                                {"machine", machine.name},
                                {"ran_s", run_time},
                                {"cause", exit_cause_name(cause)}});
    if (run_time >= constants::kReplicaStableRun_s) return;
    JobFailures& failures = job.failures;
    failures.last_quick_exit_at = now;
    record_failed_machine(cluster, machine, job);
    if (++failures.quick_exits > constants::kReplicaImmediateRestarts) {
        // Replicas that exit together count as one: a back-off is already in progress.
        if (now >= failures.retry_at)
            failures.backoff_s = std::clamp(failures.backoff_s * 2, constants::kReplicaBackoff_s,
                                            constants::kReplicaBackoffMax_s);
        failures.retry_at = now + failures.backoff_s;
    }
    if (!failures.failing && cause == ExitCause::kError) record_machine_failure(machine, job);
}

void account_running_replica(Job& job, const Placement& replica, Seconds now) {
    // A replica bound after the last quick exit that runs long enough shows that the service has recovered.
    bool since_last_exit =
        !job.failures.last_quick_exit_at || replica.bound_at >= *job.failures.last_quick_exit_at;
    if (since_last_exit && replica.run_time(now) >= constants::kReplicaStableRun_s)
        job.failures.clear_quick_exits();
}

}  // namespace hareshore

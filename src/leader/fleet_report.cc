#include "leader/fleet_report.h"

#include <algorithm>

#include "base/constants.h"
#include "base/log.h"

namespace hareshore {

namespace {

struct FleetCounts {
    size_t booting = 0;
    size_t spot = 0;
    size_t idle = 0;
    double gpus = 0;
    double free_gpus = 0;
};

struct WaitingCounts {
    size_t jobs = 0;
    size_t tasks = 0;
};

FleetCounts count_fleet(const Cluster& cluster) {
    FleetCounts counts;
    for (const auto& [name, machine] : cluster.machines) {
        counts.booting += machine->heartbeat_received ? 0 : 1;
        counts.spot += machine->spot ? 1 : 0;
        counts.idle += machine->heartbeat_received && machine->idle() ? 1 : 0;
        const MachineType* type = cluster.machine_type(machine->machine_type);
        if (!type || !machine->heartbeat_received) continue;
        counts.gpus += type->gpus;
        counts.free_gpus += machine->free.gpus;
    }
    return counts;
}

WaitingCounts count_waiting(const JobTable& jobs) {
    WaitingCounts counts;
    for (const auto& [id, job] : jobs.all()) {
        if (!job->waiting()) continue;
        ++counts.jobs;
        counts.tasks += job->pending.size();
    }
    return counts;
}

double running_gpus(const Machine& machine) {
    double gpus = 0;
    for (const auto& task : machine.tasks)
        if (task.phase == TaskPhase::kRunning) gpus += task.amount.gpus;
    return gpus;
}

void log_waiting_job(const std::string& id, const Job& job, Seconds waited) {
    if (job.spec.service())
        log::info("service_waiting", {{"job", id},
                                      {"running", job.running_replicas()},
                                      {"replicas", job.spec.tasks},
                                      {"waiting", job.pending.size()},
                                      {"waited_s", waited},
                                      {"reason", wait_reason_text(job.wait.reason)}});
    else
        log::info("job_waiting", {{"job", id},
                                  {"waiting", job.pending.size()},
                                  {"tasks", job.spec.tasks},
                                  {"waited_s", waited},
                                  {"reason", wait_reason_text(job.wait.reason)}});
}

}  // namespace

void FleetReport::account_gpu_time(Seconds elapsed) {
    for (const auto& [name, machine] : dependencies_.cluster.machines) {
        const MachineType* type = dependencies_.cluster.machine_type(machine->machine_type);
        if (!type || machine->phase == MachinePhase::kFailed) continue;
        if (!machine->heartbeat_received) {
            gpu_time_.booting += type->gpus * elapsed;
        } else if (machine->idle()) {
            gpu_time_.idle += type->gpus * elapsed;
        } else {
            const double running = running_gpus(*machine);
            const double free = std::max(0.0, machine->free.gpus);
            gpu_time_.running += running * elapsed;
            gpu_time_.unused += free * elapsed;
            gpu_time_.starting += std::max(0.0, type->gpus - free - running) * elapsed;
        }
    }
}

void FleetReport::log_all() {
    log_waiting_jobs();
    log_fleet();
}

void FleetReport::log_waiting_jobs() const {
    const Seconds now = dependencies_.loop.now();
    for (const auto& [id, job] : dependencies_.jobs.all()) {
        const Seconds waited = now - job->wait.since;
        if (!job->waiting() || waited < constants::kWaitLogInterval_s) continue;
        if (!job->wait.reason_log_due(now)) continue;
        job->wait.reason_logged_at = now;
        log_waiting_job(id, *job, waited);
    }
}

void FleetReport::log_fleet() {
    const Seconds now = dependencies_.loop.now();
    if (fleet_logged_at_ && now - *fleet_logged_at_ < constants::kWaitLogInterval_s) return;
    fleet_logged_at_ = now;
    const FleetCounts fleet = count_fleet(dependencies_.cluster);
    const WaitingCounts waiting = count_waiting(dependencies_.jobs);
    log::info("fleet", {{"machines", dependencies_.cluster.machines.size()},
                        {"spot", fleet.spot},
                        {"booting", fleet.booting},
                        {"idle", fleet.idle},
                        {"gpus_used", fleet.gpus - fleet.free_gpus},
                        {"gpus", fleet.gpus},
                        {"tasks_waiting", waiting.tasks},
                        {"jobs_waiting", waiting.jobs},
                        {"unwritten_records", dependencies_.jobs.unwritten_count()},
                        {"longest_pass_s", dependencies_.scheduling.get_and_reset_longest_pass()}});
    log_gpu_time();
}

void FleetReport::log_gpu_time() const {
    const double total = gpu_time_.total();
    if (total <= 0) return;
    log::info("gpu_time", {{"running_pct", 100 * gpu_time_.running / total},
                           {"starting_or_stopping_pct", 100 * gpu_time_.starting / total},
                           {"free_on_used_machines_pct", 100 * gpu_time_.unused / total},
                           {"idle_machines_pct", 100 * gpu_time_.idle / total},
                           {"booting_pct", 100 * gpu_time_.booting / total}});
}

}  // namespace hareshore

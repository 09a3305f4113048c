#include "leader/operator_pages.h"

#include <fmt/format.h>

namespace hareshore {

namespace {

const char* phase_name(MachinePhase phase) {
    switch (phase) {
        case MachinePhase::kBooting:
            return "booting";
        case MachinePhase::kRunning:
            return "running";
        case MachinePhase::kFailed:
            return "failed";
    }
    return "failed";
}

std::string progress_text(const Job& job) {
    const JobSpec& spec = job.spec;
    if (spec.service())
        return fmt::format("{} service team {} {} of {} replicas up", spec.id, spec.team,
                           job.running_replicas(), spec.tasks);
    return fmt::format("{} {} team {} {} of {} tasks done", spec.id, spec.gang() ? "gang" : "array",
                       spec.team, job.done.size(), spec.tasks);
}

}  // namespace

std::string jobs_page(const JobTable& jobs, Seconds now) {
    std::string page;
    for (const auto& [id, job] : jobs.all()) {
        page += fmt::format("{}, {} on machines, {} waiting", progress_text(*job), job->live.size(),
                            job->pending.size());
        if (job->cancelled) page += ", cancelled";
        if (job->waiting())
            page +=
                fmt::format(" for {:.0f} s: {}", now - job->wait.since, wait_reason_text(job->wait.reason));
        page += '\n';
    }
    return page;
}

std::string machines_page(const Cluster& cluster, Seconds now) {
    std::string page;
    for (const auto& [name, machine] : cluster.machines)
        page += fmt::format("{} {} {}{} {} {} tasks, report {:.0f} s ago{}{}\n", name, machine->machine_type,
                            machine->zone, machine->spot ? " spot" : "", phase_name(machine->phase),
                            machine->placed_tasks, now - machine->last_heartbeat,
                            machine->cordoned ? ", condemned: " + machine->cordon_reason : "",
                            machine->deleting ? ", being returned" : "");
    return page;
}

}  // namespace hareshore

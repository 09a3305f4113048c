// What the leader tells operators: periodic log lines and the read-only pages.
#include <fmt/format.h>

#include <algorithm>

#include "base/constants.h"
#include "base/log.h"
#include "leader/leader.h"

namespace hareshore {

void Leader::log_waiting() {
    for (const auto& [id, j] : jobs_.all()) {
        if (!j->waiting() || loop_.now() - j->wait.since < constants::kWaitLogInterval_s) continue;
        if (!j->wait.reason_log_due(loop_.now())) continue;
        j->wait.reason_logged_at = loop_.now();
        if (j->spec.service())
            log::info("service_waiting", {{"job", id},
                                          {"running", j->running_replicas()},
                                          {"replicas", j->spec.tasks},
                                          {"waiting", j->pending.size()},
                                          {"waited_s", loop_.now() - j->wait.since},
                                          {"reason", wait_reason_text(j->wait.reason)}});
        else
            log::info("job_waiting", {{"job", id},
                                      {"waiting", j->pending.size()},
                                      {"tasks", j->spec.tasks},
                                      {"waited_s", loop_.now() - j->wait.since},
                                      {"reason", wait_reason_text(j->wait.reason)}});
    }
}

void Leader::account(Seconds since) {
    for (const auto& [name, h] : cluster_.machines) {
        const MachineType* f = cluster_.machine_type(h->machine_type);
        if (!f || h->phase == MachinePhase::kFailed) continue;
        if (!h->heartbeat_received) {
            spent_.booting += f->gpus * since;
        } else if (h->idle()) {
            spent_.idle += f->gpus * since;
        } else {
            double running = 0;
            for (const auto& t : h->tasks)
                if (t.phase == TaskPhase::kRunning) running += t.amount.gpus;
            spent_.running += running * since;
            spent_.unused += std::max(0.0, h->free.gpus) * since;
            spent_.starting += std::max(0.0, f->gpus - std::max(0.0, h->free.gpus) - running) * since;
        }
    }
}

void Leader::log_fleet() {
    if (loop_.now() - fleet_logged_ < constants::kWaitLogInterval_s) return;
    fleet_logged_ = loop_.now();
    size_t booting = 0;
    size_t spot = 0;
    size_t idle = 0;
    size_t waiting = 0;
    size_t jobs = 0;
    double gpus = 0;
    double free = 0;
    for (const auto& [name, h] : cluster_.machines) {
        const MachineType* f = cluster_.machine_type(h->machine_type);
        booting += !h->heartbeat_received;
        spot += h->spot;
        idle += h->heartbeat_received && h->idle();
        if (!f || !h->heartbeat_received) continue;
        gpus += f->gpus;
        free += h->free.gpus;
    }
    for (const auto& [id, j] : jobs_.all()) {
        if (!j->waiting()) continue;
        ++jobs;
        waiting += j->pending.size();
    }
    log::info("fleet", {{"machines", cluster_.machines.size()},
                        {"spot", spot},
                        {"booting", booting},
                        {"idle", idle},
                        {"gpus_used", gpus - free},
                        {"gpus", gpus},
                        {"tasks_waiting", waiting},
                        {"jobs_waiting", jobs},
                        {"unwritten_records", jobs_.unwritten_count()},
                        {"longest_pass_s", std::exchange(longest_pass_, 0)}});
    double all = spent_.booting + spent_.idle + spent_.unused + spent_.starting + spent_.running;
    if (all > 0)
        log::info("gpu_time", {{"running_pct", 100 * spent_.running / all},
                               {"starting_or_stopping_pct", 100 * spent_.starting / all},
                               {"free_on_used_machines_pct", 100 * spent_.unused / all},
                               {"idle_machines_pct", 100 * spent_.idle / all},
                               {"booting_pct", 100 * spent_.booting / all}});
}

std::string Leader::jobs_page() const {
    std::string s;
    for (const auto& [id, j] : jobs_.all()) {
        if (j->spec.service())
            s += fmt::format("{} service team {} {} of {} replicas up, {} on machines, {} waiting", id,
                             j->spec.team, j->running_replicas(), j->spec.tasks, j->live.size(),
                             j->pending.size());
        else
            s += fmt::format("{} {} team {} {} of {} tasks done, {} on machines, {} waiting", id,
                             j->spec.gang() ? "gang" : "array", j->spec.team, j->done.size(), j->spec.tasks,
                             j->live.size(), j->pending.size());
        if (j->cancelled) s += ", cancelled";
        if (j->waiting())
            s += fmt::format(" for {:.0f} s: {}", loop_.now() - j->wait.since,
                             wait_reason_text(j->wait.reason));
        s += '\n';
    }
    return s;
}

std::string Leader::machines_page() const {
    std::string s;
    for (const auto& [name, h] : cluster_.machines) {
        const char* phase = h->phase == MachinePhase::kBooting   ? "booting"
                            : h->phase == MachinePhase::kRunning ? "running"
                                                                 : "failed";
        s += fmt::format("{} {} {}{} {} {} tasks, report {:.0f} s ago{}{}\n", name, h->machine_type, h->zone,
                         h->spot ? " spot" : "", phase, h->placed_tasks, loop_.now() - h->last_heartbeat,
                         h->cordoned ? ", condemned: " + h->cordon_reason : "",
                         h->deleting ? ", being returned" : "");
    }
    return s;
}

}  // namespace hareshore

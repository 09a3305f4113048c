#include "scheduler/team_quota.h"

namespace hareshore {

TeamUsage TeamQuota::reserved_before(const JobSpec& spec) const {
    TeamUsage reserved;
    auto team_reservations = reservations_.find(spec.team);
    if (team_reservations == reservations_.end()) return reserved;
    for (const Reservation& reservation : team_reservations->second) {
        if (!reservation.starved && reservation.priority <= spec.priority) continue;
        bool backfills = !spec.service() && pass_.input.now + spec.estimate_s < reservation.backfill_until;
        if (backfills) continue;
        reserved.cpus += reservation.usage.cpus;
        reserved.gpus += reservation.usage.gpus;
    }
    return reserved;
}

// Uses binary search, since an array may have 100,000 tasks.
uint32_t TeamQuota::max_tasks_within_limit(const JobSpec& spec, uint32_t tasks) const {
    if (within_limit(spec, tasks)) return tasks;
    uint32_t allowed = 0;
    uint32_t refused = tasks;
    while (refused - allowed > 1) {
        uint32_t middle = allowed + (refused - allowed) / 2;
        (within_limit(spec, middle) ? allowed : refused) = middle;
    }
    return allowed;
}

TeamUsage TeamQuota::held_by_services(const JobSpec& gang) {
    if (!running_services_) {
        running_services_.emplace();
        for (const auto& [id, job] : pass_.jobs.all())
            if (job->spec.service() && !job->cancelled && !job->live.empty())
                (*running_services_)[job->spec.team].push_back(job.get());
    }
    TeamUsage held;
    auto services = running_services_->find(gang.team);
    if (services == running_services_->end()) return held;
    for (const Job* service : services->second) {
        const JobSpec& spec = service->spec;
        size_t replicas = spec.priority >= gang.priority ? spec.tasks : service->live.size();
        held.cpus += static_cast<double>(replicas) * spec.cpus;
        held.gpus += static_cast<double>(replicas) * spec.gpus;
    }
    return held;
}

bool TeamQuota::can_become_free(const JobSpec& gang) {
    // within_limit() counts the present usage, of which only the services' part remains.
    TeamUsage remaining = held_by_services(gang);
    auto used = pass_.cluster.teams.find(gang.team);
    if (used != pass_.cluster.teams.end()) {
        remaining.cpus -= used->second.cpus;
        remaining.gpus -= used->second.gpus;
    }
    return pass_.cluster.within_limit(pass_.input.config, gang, gang.tasks, remaining);
}

void TeamQuota::reserve(const QueuedJob& gang, std::optional<Seconds> expected_start) {
    const Job& job = *gang.job;
    if (job.pending.empty()) return;
    bool lacks_machines = job.wait.reason == WaitReason::kGangRoom && (gang.starved || expected_start);
    if (job.wait.reason != WaitReason::kTeamLimit && !lacks_machines) return;
    Seconds now = pass_.input.now;
    if (lacks_machines && job.wait.reservation_expired(now)) return;
    if (!can_become_free(job.spec)) return;
    double tasks = job.pending.size();
    reservations_[job.spec.team].push_back({job.spec.priority,
                                            gang.starved,
                                            {tasks * job.spec.cpus, tasks * job.spec.gpus},
                                            gang.starved ? now : expected_start.value_or(now)});
}

}  // namespace hareshore

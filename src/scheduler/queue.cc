#include "scheduler/queue.h"

#include <algorithm>
#include <tuple>

namespace hareshore {

ZoneRule::ZoneRule(const Job& job) : job_(job) {
    if (!job.spec.single_zone && !job.spec.spread_across_zones)
        return;  // an array may have thousands of placements
    for (const auto& [task, p] : job.live) ++in_zone_[p.zone];
}

uint32_t ZoneRule::room(const std::string& zone) const {
    const JobSpec& s = job_.spec;
    if (!s.zone.empty() && s.zone != zone) return 0;
    auto it = in_zone_.find(zone);
    uint32_t here = it == in_zone_.end() ? 0 : it->second;
    if (s.single_zone)
        for (const auto& [z, n] : in_zone_)
            if (n > 0 && z != zone) return 0;
    if (s.spread_across_zones) {
        uint32_t most = (s.tasks + 1) / 2;
        return here >= most ? 0 : most - here;
    }
    return s.tasks;
}

std::set<const Job*> jobs_within_guarantee(const Config& config, const JobTable& jobs) {
    std::map<std::string, std::vector<const Job*>> by_team;
    bool guarantees = std::any_of(config.teams.begin(), config.teams.end(),
                                  [](const Team& t) { return t.cpus > 0 || t.gpus > 0; });
    if (!guarantees) return {};
    for (const auto& [id, job] : jobs.all())
        if (!job->cancelled && !job->finished()) by_team[job->spec.team].push_back(job.get());
    std::set<const Job*> out;
    for (auto& [name, list] : by_team) {
        const Team* t = config.team(name);
        if (!t || (t->cpus <= 0 && t->gpus <= 0)) continue;
        std::sort(list.begin(), list.end(), [](const Job* a, const Job* b) {
            return std::tie(a->accepted, a->spec.id) < std::tie(b->accepted, b->spec.id);
        });
        double cpus = 0, gpus = 0;
        for (const Job* j : list) {
            uint32_t left = j->spec.tasks - j->done.size();
            cpus += left * j->spec.cpus;
            gpus += left * j->spec.gpus;
            if ((t->cpus > 0 && cpus > t->cpus) || (t->gpus > 0 && gpus > t->gpus)) break;
            out.insert(j);
        }
    }
    return out;
}

std::vector<QueuedJob> queue_order(const JobTable& jobs, const SchedulerInput& in,
                                   const std::set<const Job*>& within_guarantee) {
    std::vector<QueuedJob> q;
    for (const auto& [id, job] : jobs.all()) {
        if (!job->waiting()) continue;
        QueuedJob e;
        e.job = job.get();
        e.within_guarantee = within_guarantee.contains(job.get());
        e.first = job->spec.service() && job->spec.priority == PriorityClass::kProduction;
        e.starved = in.now - job->accepted > in.settings.begin_bound_s && job->live.empty() &&
                    job->done.empty() && !job->failures.failing;
        e.aged = in.now - job->wait.since > in.settings.age_bound_s;
        e.lost = job->missed_objectives(in.config, in.now);
        q.push_back(e);
    }
    std::sort(q.begin(), q.end(), [](const QueuedJob& a, const QueuedJob& b) {
        auto key = [](const QueuedJob& queued) {
            if (queued.starved) return std::tuple(false, false, false, 0, 0, false, queued.job->accepted);
            return std::tuple(true, !queued.first, !queued.within_guarantee,
                              -static_cast<int>(queued.job->spec.priority), queued.lost, !queued.aged,
                              queued.job->accepted);
        };
        auto x = key(a), y = key(b);
        return x != y ? x < y : a.job->spec.id < b.job->spec.id;
    });
    return q;
}

Resources least_of(const std::vector<QueuedJob>& jobs) {
    if (jobs.empty()) return {};
    Resources least = Resources::of(jobs.front().job->spec);
    for (const auto& q : jobs) least = least.componentwise_min(Resources::of(q.job->spec));
    return least;
}

}  // namespace hareshore

#include "scheduler/queue.h"

#include <algorithm>
#include <tuple>

namespace hareshore {

ZoneRule::ZoneRule(const Job& job) : job_(job) {
    if (!job.spec.one_zone && !job.spec.apart) return;  // an array may have thousands of placements
    for (const auto& [task, p] : job.live) ++in_zone_[p.zone];
}

uint32_t ZoneRule::room(const std::string& zone) const {
    const JobSpec& s = job_.spec;
    if (!s.zone.empty() && s.zone != zone) return 0;
    auto it = in_zone_.find(zone);
    uint32_t here = it == in_zone_.end() ? 0 : it->second;
    if (s.one_zone)
        for (const auto& [z, n] : in_zone_)
            if (n > 0 && z != zone) return 0;
    if (s.apart) {
        uint32_t most = (s.tasks + 1) / 2;
        return here >= most ? 0 : most - here;
    }
    return s.tasks;
}

std::set<const Job*> entitled_jobs(const Config& config, const JobTable& jobs) {
    std::map<std::string, std::vector<const Job*>> by_team;
    bool guarantees = std::any_of(config.teams.begin(), config.teams.end(),
                                  [](const Team& t) { return t.cpus > 0 || t.gpus > 0; });
    if (!guarantees) return {};
    for (const auto& [id, job] : jobs.all())
        if (!job->cancelled && !job->over()) by_team[job->spec.team].push_back(job.get());
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

std::vector<Queued> queue_order(const JobTable& jobs, const SchedulerInput& in,
                                const std::set<const Job*>& entitled) {
    std::vector<Queued> q;
    for (const auto& [id, job] : jobs.all()) {
        if (!job->waiting()) continue;
        Queued e;
        e.job = job.get();
        e.entitled = entitled.contains(job.get());
        e.first = job->spec.service() && job->spec.rank == Rank::kProduction;
        e.starved = in.now - job->accepted > in.settings.begin_bound_s && job->live.empty() &&
                    job->done.empty() && !job->blamed;
        e.aged = in.now - job->waiting_since > in.settings.age_bound_s;
        e.lost = job->aims_lost(in.config, in.now);
        q.push_back(e);
    }
    std::sort(q.begin(), q.end(), [](const Queued& a, const Queued& b) {
        auto key = [](const Queued& queued) {
            if (queued.starved) return std::tuple(false, false, false, 0, 0, false, queued.job->accepted);
            return std::tuple(true, !queued.first, !queued.entitled, -static_cast<int>(queued.job->spec.rank),
                              queued.lost, !queued.aged, queued.job->accepted);
        };
        auto x = key(a), y = key(b);
        return x != y ? x < y : a.job->spec.id < b.job->spec.id;
    });
    return q;
}

Amount least_of(const std::vector<Queued>& jobs) {
    if (jobs.empty()) return {};
    Amount least = Amount::of(jobs.front().job->spec);
    for (const auto& q : jobs) least = least.lesser(Amount::of(q.job->spec));
    return least;
}

}  // namespace hareshore

#include "scheduler/queue.h"

#include <algorithm>
#include <compare>
#include <map>
#include <tuple>

namespace hareshore {

namespace {

// The sort key of a queued job; the smallest is served first.
struct QueueRank {
    bool not_starved = false;
    bool not_production_service = false;
    bool outside_guarantee = false;
    int negated_priority = 0;
    int missed_objectives = 0;
    bool not_aged = false;
    Seconds accepted = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted <=>
    auto operator<=>(const QueueRank&) const = default;
};

QueueRank rank_of(const QueuedJob& queued) {
    QueueRank rank;
    rank.accepted = queued.job->accepted;
    if (queued.starved) return rank;  // starved jobs are ordered by age alone
    rank.not_starved = true;
    rank.not_production_service = !queued.production_service;
    rank.outside_guarantee = !queued.within_guarantee;
    rank.negated_priority = -static_cast<int>(queued.job->spec.priority);
    rank.missed_objectives = queued.missed_objectives;
    rank.not_aged = !queued.aged;
    return rank;
}

bool has_guarantee(const Team& team) {
    return team.cpus > 0 || team.gpus > 0;
}

// Adds the team's oldest jobs up to its guarantee. Sorts `jobs` by age.
void add_jobs_within_guarantee(const Team& team, std::vector<const Job*>& jobs, std::set<const Job*>& out) {
    std::sort(jobs.begin(), jobs.end(), [](const Job* a, const Job* b) {
        return std::tie(a->accepted, a->spec.id) < std::tie(b->accepted, b->spec.id);
    });
    double cpus = 0;
    double gpus = 0;
    for (const Job* job : jobs) {
        uint32_t unfinished = job->spec.tasks - job->done.size();
        cpus += unfinished * job->spec.cpus;
        gpus += unfinished * job->spec.gpus;
        if ((team.cpus > 0 && cpus > team.cpus) || (team.gpus > 0 && gpus > team.gpus)) break;
        out.insert(job);
    }
}

}  // namespace

std::set<const Job*> jobs_within_guarantee(const Config& config, const JobTable& jobs) {
    if (std::none_of(config.teams.begin(), config.teams.end(), has_guarantee)) return {};
    std::map<std::string, std::vector<const Job*>> by_team;
    for (const auto& [id, job] : jobs.all())
        if (!job->cancelled && !job->finished()) by_team[job->spec.team].push_back(job.get());
    std::set<const Job*> out;
    for (auto& [name, team_jobs] : by_team) {
        const Team* team = config.team(name);
        if (team && has_guarantee(*team)) add_jobs_within_guarantee(*team, team_jobs, out);
    }
    return out;
}

std::vector<QueuedJob> queue_order(const JobTable& jobs, const Config& config, const Settings& settings,
                                   Seconds now, const std::set<const Job*>& within_guarantee) {
    std::vector<QueuedJob> queue;
    for (const auto& [id, job] : jobs.all()) {
        if (!job->waiting()) continue;
        QueuedJob queued;
        queued.job = job.get();
        queued.starved = now - job->accepted > settings.begin_bound_s && job->live.empty() &&
                         job->done.empty() && !job->failures.failing;
        queued.production_service = job->spec.service() && job->spec.priority == PriorityClass::kProduction;
        queued.within_guarantee = within_guarantee.contains(job.get());
        queued.aged = now - job->wait.since > settings.age_bound_s;
        queued.missed_objectives = job->missed_objectives(config, now);
        queue.push_back(queued);
    }
    std::sort(queue.begin(), queue.end(), [](const QueuedJob& a, const QueuedJob& b) {
        auto order = rank_of(a) <=> rank_of(b);
        return std::is_neq(order) ? std::is_lt(order) : a.job->spec.id < b.job->spec.id;
    });
    return queue;
}

Resources smallest_request(const std::vector<QueuedJob>& jobs) {
    if (jobs.empty()) return {};
    Resources smallest = Resources::of(jobs.front().job->spec);
    for (const auto& queued : jobs) smallest = smallest.componentwise_min(Resources::of(queued.job->spec));
    return smallest;
}

}  // namespace hareshore

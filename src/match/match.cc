#include "match/match.h"

#include <algorithm>
#include <tuple>

#include "base/constants.h"

namespace hareshore {

ZoneRule::ZoneRule(const Job& job) : job_(job) {
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

std::vector<Queued> queue_order(const Cluster& cluster, const JobTable& jobs, const MatchInput& in) {
    std::vector<Queued> q;
    for (const auto& [id, job] : jobs.all()) {
        if (!job->waiting()) continue;
        uint32_t at_once = job->spec.gang() ? static_cast<uint32_t>(job->pending.size()) : 1;
        Queued e;
        e.job = job.get();
        e.entitled = cluster.within_guarantee(in.config, job->spec, at_once);
        e.aged = in.now - job->waiting_since > in.settings.age_bound_s;
        q.push_back(e);
    }
    std::sort(q.begin(), q.end(), [](const Queued& a, const Queued& b) {
        return std::tuple(!a.entitled, -static_cast<int>(a.job->spec.rank), !a.aged, a.job->accepted,
                          a.job->spec.id) < std::tuple(!b.entitled, -static_cast<int>(b.job->spec.rank),
                                                       !b.aged, b.job->accepted, b.job->spec.id);
    });
    return q;
}

namespace {

class Matcher {
  public:
    Matcher(Cluster& c, JobTable& j, const MatchInput& in) : cluster_(c), jobs_(j), in_(in) {}

    std::vector<Binding> run() {
        auto queue = queue_order(cluster_, jobs_, in_);
        for (auto& h : cluster_.hosts)
            if (h.second->usable) usable_.push_back(h.second.get());
        for (size_t i = 0; i < queue.size();) {
            size_t end = i;
            while (end < queue.size() && same_class(queue[i], queue[end])) ++end;
            serve_class({queue.begin() + static_cast<long>(i), queue.begin() + static_cast<long>(end)});
            i = end;
        }
        return std::move(bound_);
    }

  private:
    static bool same_class(const Queued& a, const Queued& b) {
        return a.entitled == b.entitled && a.job->spec.rank == b.job->spec.rank;
    }

    bool may_start(Job& job) {
        if (in_.now < job.not_before) {
            job.why = Wait::kBackoff;
            return false;
        }
        if (job.stray) {
            job.why = Wait::kOldAttempt;
            return false;
        }
        return true;
    }

    bool fits(const Job& job, const Host& h) const {
        return h.usable && job.spec.allows(h.flavor, h.zone, h.spot) && h.free.fits(job.spec, 1) > 0 &&
               !(avoids(job, h));
    }

    // A job keeps away from machines it failed on, unless it is blamed itself.
    static bool avoids(const Job& job, const Host& h) {
        return !job.blamed && job.failed_on.count(h.name) > 0;
    }

    void bind(Job& job, uint32_t task, Host& h, uint64_t attempt) {
        jobs_.bind(job, task, h, attempt, in_.now);
        h.free -= Amount::of(job.spec);
        ++h.placed;
        h.idle_since = -1;
        auto& use = cluster_.teams[job.spec.team];
        use.cpus += job.spec.cpus;
        use.gpus += job.spec.gpus;
        job.why = job.pending.empty() ? Wait::kNone : Wait::kNoRoom;
        bound_.push_back({&job, task, &h});
    }

    void serve_class(std::vector<Queued> jobs) {
        for (auto& q : jobs)
            if (q.job->spec.gang() && q.job->spec.tasks > 1 && may_start(*q.job)) place_gang(*q.job);
        for (Host* h : in_.askers)
            if (h->usable) pull(jobs, *h);
    }

    // One machine asks: it gets tasks until none fits it.
    void pull(const std::vector<Queued>& jobs, Host& h) {
        while (Job* job = pick(jobs, h)) {
            if (job->spec.gang()) job->attempt = job->next_attempt;
            bind(*job, *job->pending.first(), h, job->next_attempt++);
        }
    }

    Job* pick(const std::vector<Queued>& jobs, Host& h) {
        Job* best = nullptr;
        double best_gb = -1;
        const Queued* first = nullptr;
        for (const auto& q : jobs) {
            Job& job = *q.job;
            if (first && (first->aged || job.accepted - first->job->accepted > in_.settings.similar_age_s))
                break;
            if (job.pending.empty() || (job.spec.gang() && job.spec.tasks > 1) || !may_start(job)) continue;
            if (!cluster_.within_limit(in_.config, job.spec, 1)) {
                job.why = Wait::kTeamLimit;
                continue;
            }
            if (!job.room_in_record(in_.config.value_bytes, 1)) {
                job.why = Wait::kRecordFull;
                continue;
            }
            if (!fits(job, h) || ZoneRule(job).room(h.zone) == 0) {
                if (job.why != Wait::kHeldForImage) job.why = Wait::kNoRoom;
                continue;
            }
            bool cached = h.cache.has(job.spec.image);
            if (!cached && in_.now - job.waiting_since < in_.settings.hold_s && idle_holder(job, h)) {
                job.why = Wait::kHeldForImage;
                continue;
            }
            double gb = cached ? job.spec.image_gb : 0;
            if (!first) first = &q;
            if (gb > best_gb) {
                best = &job;
                best_gb = gb;
            }
        }
        return best;
    }

    bool idle_holder(const Job& job, const Host& asker) const {
        for (const Host* h : usable_)
            if (h != &asker && h->cache.has(job.spec.image) && fits(job, *h) &&
                ZoneRule(job).room(h->zone) > 0)
                return true;
        return false;
    }

    // Machines for n tasks of a gang, those with the image first; empty if there is not room for all.
    std::vector<Host*> gang_hosts(Job& job, const std::string& zone, uint32_t n, uint32_t& cached) {
        std::vector<Host*> hosts;
        for (Host* h : usable_)
            if ((zone.empty() || h->zone == zone) && fits(job, *h)) hosts.push_back(h);
        std::sort(hosts.begin(), hosts.end(), [&](const Host* a, const Host* b) {
            return std::tuple(!a->cache.has(job.spec.image), a->free.gpus, a->free.cpus, a->name) <
                   std::tuple(!b->cache.has(job.spec.image), b->free.gpus, b->free.cpus, b->name);
        });
        std::vector<Host*> out;
        ZoneRule rule(job);
        cached = 0;
        for (Host* h : hosts) {
            uint32_t k = h->free.fits(job.spec, n - static_cast<uint32_t>(out.size()));
            while (k > 0 && rule.room(h->zone) > 0) {
                out.push_back(h);
                rule.add(h->zone);
                cached += h->cache.has(job.spec.image) ? 1 : 0;
                --k;
            }
            if (out.size() == n) return out;
        }
        return {};
    }

    void place_gang(Job& job) {
        if (job.pending.empty()) return;
        bool fresh = job.live.empty();
        // Tasks of the last attempt are still on their machines; a gang that has started or is ending
        // takes no replacement.
        if (!fresh && (job.started || job.broken)) {
            job.why = Wait::kOldAttempt;
            return;
        }
        auto n = static_cast<uint32_t>(job.pending.size());
        if (!cluster_.within_limit(in_.config, job.spec, n)) {
            job.why = Wait::kTeamLimit;
            return;
        }
        if (!job.room_in_record(in_.config.value_bytes, n)) {
            job.why = Wait::kRecordFull;
            return;
        }
        std::vector<Host*> best;
        uint32_t best_cached = 0;
        std::vector<std::string> zones = job.spec.one_zone ? in_.config.zones : std::vector<std::string>{""};
        for (const auto& zone : zones) {
            uint32_t cached = 0;
            auto hosts = gang_hosts(job, zone, n, cached);
            if (!hosts.empty() && (best.empty() || cached > best_cached)) {
                best = std::move(hosts);
                best_cached = cached;
            }
        }
        if (best.empty()) {
            job.why = Wait::kGangRoom;
            return;
        }
        if (fresh) job.attempt = job.next_attempt++;
        for (Host* h : best) bind(job, *job.pending.first(), *h, job.attempt);
    }

    Cluster& cluster_;
    JobTable& jobs_;
    const MatchInput& in_;
    std::vector<Host*> usable_;
    std::vector<Binding> bound_;
};

}  // namespace

std::vector<Binding> match(Cluster& cluster, JobTable& jobs, const MatchInput& in) {
    return Matcher(cluster, jobs, in).run();
}

}  // namespace hareshore

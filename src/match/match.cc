#include "match/match.h"

#include <algorithm>
#include <tuple>

#include "base/constants.h"
#include "base/log.h"

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

std::set<const Job*> entitled_jobs(const Config& config, const JobTable& jobs) {
    std::map<std::string, std::vector<const Job*>> by_team;
    for (const auto& [id, job] : jobs.all())
        if (!job->withdrawn && !job->over()) by_team[job->spec.team].push_back(job.get());
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

std::vector<Queued> queue_order(const JobTable& jobs, const MatchInput& in) {
    std::vector<Queued> q;
    auto entitled = entitled_jobs(in.config, jobs);
    for (const auto& [id, job] : jobs.all()) {
        if (!job->waiting()) continue;
        Queued e;
        e.job = job.get();
        e.entitled = entitled.count(job.get()) > 0;
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
        entitled_ = entitled_jobs(in_.config, jobs_);
        auto queue = queue_order(jobs_, in_);
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
        // What could not be placed takes room from work that must yield to it, and keeps the room that it
        // waits for from work that comes after it.
        for (auto& q : jobs) make_room(q);
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

    // --- preemption and reservation -------------------------------------------------------------------

    struct Victim {
        Job* job = nullptr;
        uint32_t task = 0;
    };
    // What one machine can give: places that are free or being freed, and those that more victims free.
    struct Offer {
        Host* host = nullptr;
        uint32_t places = 0;                     // without further victims
        std::vector<std::vector<Victim>> steps;  // each frees one more place
    };

    bool yields(const Job& victim, const Queued& q) const {
        if (&victim == q.job || victim.withdrawn) return false;
        if (victim.spec.rank < q.job->spec.rank && !(entitled_.count(&victim) > 0 && !q.entitled))
            return true;
        return q.entitled && victim.spec.team != q.job->spec.team && entitled_.count(&victim) == 0;
    }

    Offer offer(const Queued& q, Host& h) {
        Offer o;
        o.host = &h;
        Amount room = h.free;
        std::vector<Victim> victims;
        for (const auto& [id, task] : jobs_.on_host(h.name)) {
            Job* v = jobs_.find(id);
            if (!v) continue;
            const Placement& p = v->live.at(task);
            if (p.stopping) {
                room += Amount::of(v->spec);
            } else if (yields(*v, q) && (!v->spec.gang() || v->spec.tasks == 1)) {
                victims.push_back({v, task});
            }
        }
        uint32_t most = q.job->spec.tasks;
        o.places = room.fits(q.job->spec, most);
        // Those that lose least go first: arrays before gangs, what can save before what cannot, the
        // lowest priority, and the latest start.
        std::sort(victims.begin(), victims.end(), [](const Victim& a, const Victim& b) {
            auto key = [](const Victim& v) {
                return std::tuple(v.job->spec.gang(), v.job->spec.checkpoint_s <= 0, v.job->spec.rank,
                                  -v.job->live.at(v.task).bound_at, v.job->spec.id, v.task);
            };
            return key(a) < key(b);
        });
        uint32_t places = o.places;
        std::vector<Victim> step;
        for (const Victim& v : victims) {
            room += Amount::of(v.job->spec);
            step.push_back(v);
            uint32_t now = room.fits(q.job->spec, most);
            while (now > places) {
                o.steps.push_back(std::exchange(step, {}));
                ++places;
            }
        }
        return o;
    }

    void make_room(const Queued& q) {
        Job& job = *q.job;
        if (job.pending.empty() || !may_start(job)) return;
        bool gang = job.spec.gang();
        if (gang && !job.live.empty() && (job.started || job.broken)) return;
        uint32_t n = job.pending.size();
        if (!gang) {
            // An array takes room from others only for what its team is guaranteed.
            if (!q.entitled) return;
        } else if (!cluster_.within_limit(in_.config, job.spec, n)) {
            return;
        }
        std::vector<Offer> offers;
        for (Host* h : usable_)
            if (job.spec.allows(h->flavor, h->zone, h->spot) && !avoids(job, *h))
                offers.push_back(offer(q, *h));
        std::vector<std::string> zones = job.spec.one_zone ? in_.config.zones : std::vector<std::string>{""};
        std::vector<std::pair<Host*, uint32_t>> best;  // places to keep on each machine
        std::vector<Victim> best_victims;
        bool best_whole = false;
        uint32_t best_places = 0;
        for (const auto& zone : zones) {
            if (!zone.empty() && ZoneRule(job).room(zone) == 0) continue;
            std::vector<std::pair<Host*, uint32_t>> keep;
            std::vector<Victim> victims;
            uint32_t left = n;
            std::vector<std::tuple<size_t, bool, std::string, const Offer*, size_t>> more;
            for (const Offer& o : offers) {
                if (!zone.empty() && o.host->zone != zone) continue;
                uint32_t k = std::min(left, o.places);
                left -= k;
                if (k > 0) keep.emplace_back(o.host, k);
                for (size_t i = 0; i < o.steps.size(); ++i)
                    more.emplace_back(o.steps[i].size(), !o.host->cache.has(job.spec.image), o.host->name, &o,
                                      i);
            }
            uint32_t places = n - left;
            // Steps of one machine are taken in order; a later one never costs less by itself.
            std::stable_sort(more.begin(), more.end(), [](const auto& a, const auto& b) {
                return std::tuple(std::get<0>(a), std::get<1>(a), std::get<2>(a), std::get<4>(a)) <
                       std::tuple(std::get<0>(b), std::get<1>(b), std::get<2>(b), std::get<4>(b));
            });
            std::map<const Offer*, size_t> taken;
            for (const auto& m : more) {
                if (left == 0) break;
                const Offer* o = std::get<3>(m);
                for (size_t i = taken[o]; i <= std::get<4>(m) && left > 0; ++i) {
                    victims.insert(victims.end(), o->steps[i].begin(), o->steps[i].end());
                    keep.emplace_back(o->host, 1);
                    taken[o] = i + 1;
                    --left;
                }
            }
            bool whole = left == 0;
            if (best.empty() ||
                std::tuple(!whole, whole ? victims.size() : 0, n - places) <
                    std::tuple(!best_whole, best_whole ? best_victims.size() : 0, n - best_places)) {
                best = std::move(keep);
                best_victims = std::move(victims);
                best_whole = whole;
                best_places = places;
            }
        }
        // A gang that cannot be completed stops nobody, but what is free is kept for it.
        bool stop = (best_whole || !gang) && in_.now - job.waiting_since >= in_.settings.preempt_after_s;
        if (stop) {
            for (const Victim& v : best_victims) {
                log::debug("task {}/{} is stopped for job {}", v.job->spec.id, v.task, job.spec.id);
                jobs_.stop(*v.job, v.task, in_.now);
            }
        }
        if (!gang) return;
        for (auto& [h, k] : best)
            for (uint32_t i = 0; i < k; ++i) h->free -= Amount::of(job.spec);
    }

    Cluster& cluster_;
    JobTable& jobs_;
    const MatchInput& in_;
    std::set<const Job*> entitled_;
    std::vector<Host*> usable_;
    std::vector<Binding> bound_;
};

}  // namespace

std::vector<Binding> match(Cluster& cluster, JobTable& jobs, const MatchInput& in) {
    return Matcher(cluster, jobs, in).run();
}

}  // namespace hareshore

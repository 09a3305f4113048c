#include "scheduler/scheduler.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "base/constants.h"
#include "base/log.h"

namespace hareshore {

namespace {

class Scheduler {
  public:
    Scheduler(Cluster& c, JobTable& j, const SchedulerInput& in) : cluster_(c), jobs_(j), in_(in) {}

    std::vector<Binding> run() {
        within_guarantee_ = jobs_within_guarantee(in_.config, jobs_);
        auto queue = queue_order(jobs_, in_, within_guarantee_);
        for (auto& h : cluster_.machines)
            if (h.second->schedulable) schedulable_.push_back(h.second.get());
        for (size_t i = 0; i < queue.size();) {
            size_t end = i;
            while (end < queue.size() && same_class(queue[i], queue[end])) ++end;
            serve_class({queue.begin() + static_cast<long>(i), queue.begin() + static_cast<long>(end)});
            i = end;
        }
        return std::move(bound_);
    }

  private:
    struct Victim {
        Job* job = nullptr;
        uint32_t task = 0;
        const Placement* placement = nullptr;
        Machine* machine = nullptr;
    };

    void count(size_t steps) {
        if (in_.steps) *in_.steps += steps;
    }

    static bool same_class(const QueuedJob& a, const QueuedJob& b) {
        if (a.starved || b.starved) return a.starved == b.starved;
        return a.first == b.first && a.within_guarantee == b.within_guarantee &&
               a.job->spec.priority == b.job->spec.priority;
    }

    bool within_limit(const JobSpec& s, uint32_t n) const {
        TeamUsage kept;
        if (auto it = kept_limit_.find(s.team); it != kept_limit_.end()) {
            for (const auto& k : it->second) {
                if (!k.starved && k.priority <= s.priority) continue;
                if (!s.service() && in_.now + s.estimate_s < k.lent_until) continue;
                kept.cpus += k.use.cpus;
                kept.gpus += k.use.gpus;
            }
        }
        return cluster_.within_limit(in_.config, s, n, kept);
    }

    // Halving, not counting down: an array may have 100,000 tasks.
    uint32_t most_within_limit(const JobSpec& s, uint32_t n) const {
        if (within_limit(s, n)) return n;
        uint32_t yes = 0, no = n;
        while (no - yes > 1) {
            uint32_t half = yes + (no - yes) / 2;
            (within_limit(s, half) ? yes : no) = half;
        }
        return yes;
    }

    bool may_start(Job& job) {
        if (in_.now < job.not_before) {
            job.wait_reason = WaitReason::kBackoff;
            return false;
        }
        if (job.has_unplaced_task) {
            job.wait_reason = WaitReason::kOldAttempt;
            return false;
        }
        return true;
    }

    bool fits(const Job& job, const Machine& h) const {
        // Cheapest first: most machines of a busy fleet are full.
        return h.schedulable && h.free.holds(job.spec) && room(job, h).holds(job.spec) &&
               job.spec.allows(h.machine_type, h.zone, h.spot) && !avoids(job, h);
    }

    // What a job may use of a machine's room. What is kept for a gang is lent to work that is expected to
    // be over before the gang can start.
    Resources room(const Job& job, const Machine& h) const {
        Resources a = h.free;
        if (h.reserved.cpus <= 0 && h.reserved.gpus <= 0 && h.reserved.memory_gb <= 0) return a;
        const MachineType* f = cluster_.machine_type(h.machine_type);
        Seconds fetch = f && f->fetch_gb_per_s > 0 && !h.cache.has(job.spec.image)
                            ? job.spec.image_gb / f->fetch_gb_per_s
                            : 0;
        // A service does not end.
        if (job.spec.service() || in_.now + fetch + job.spec.estimate_s > h.reserved_until) a -= h.reserved;
        return a;
    }

    // A job keeps away from machines it failed on, unless it is blamed itself.
    static bool avoids(const Job& job, const Machine& h) {
        return !job.failing && job.failed_on.contains(h.name);
    }

    void bind(Job& job, uint32_t task, Machine& h, uint64_t attempt) {
        jobs_.bind(job, task, h, attempt, in_.now);
        h.free -= Resources::of(job.spec);
        ++h.placed_tasks;
        ++h.changes;
        h.idle_since.reset();
        auto& use = cluster_.teams[job.spec.team];
        use.cpus += job.spec.cpus;
        use.gpus += job.spec.gpus;
        job.wait_reason = job.pending.empty() ? WaitReason::kNone : WaitReason::kNoRoom;
        bound_.push_back({&job, task, &h});
    }

    // In the order of the queue: what is placed task by task is pulled by the askers; a gang of several
    // tasks is placed whole, or keeps the room that it waits for from all that come after it.
    void serve_class(const std::vector<QueuedJob>& jobs) {
        for (const auto& q : jobs)
            if (q.job->spec.gang()) claim_holders(q);
        std::vector<QueuedJob> singles;
        for (const auto& q : jobs) {
            if (q.job->spec.gang() && q.job->spec.tasks > 1) {
                serve_singles(std::exchange(singles, {}));
                if (may_start(*q.job)) place_gang(q);
                keep_limit(q, make_room(q));
            } else {
                singles.push_back(q);
            }
        }
        serve_singles(singles);
        for (const auto& q : jobs)  // no machine that asked had room to be offered
            if (q.job->wait_reason == WaitReason::kNew && q.job->waiting())
                q.job->wait_reason = WaitReason::kNoRoom;
    }

    void serve_singles(const std::vector<QueuedJob>& jobs) {
        if (jobs.empty()) return;
        for (const auto& q : jobs)
            if (q.job->spec.gang() && may_start(*q.job) && !within_limit(q.job->spec, 1)) {
                q.job->wait_reason = WaitReason::kTeamLimit;
                make_limit(q, 1);
                keep_limit(q, std::nullopt);
            }
        Resources least = least_of(jobs);
        for (Machine* h : in_.requesting_machines)
            if (h->schedulable && h->free.holds(least)) pull(jobs, *h);
        for (const auto& q : jobs) make_room(q);
    }

    // One machine asks: it gets tasks until none fits it.
    void pull(const std::vector<QueuedJob>& jobs, Machine& h) {
        while (Job* job = pick(jobs, h)) {
            if (job->spec.gang()) job->attempt = job->next_attempt;
            bind(*job, *job->pending.first(), h, job->next_attempt++);
        }
    }

    Job* pick(const std::vector<QueuedJob>& jobs, Machine& h) {
        Job* best = nullptr;
        double best_gb = -1;
        const QueuedJob* first = nullptr;
        for (const auto& q : jobs) {
            Job& job = *q.job;
            if (first && (first->aged || job.accepted - first->job->accepted > in_.settings.similar_age_s))
                break;
            if (job.pending.empty() || (job.spec.gang() && job.spec.tasks > 1) || !may_start(job)) continue;
            // A starved array is let begin; the rest of it takes its usual place.
            if (q.starved && !job.live.empty()) continue;
            if (!within_limit(job.spec, 1)) {
                job.wait_reason = WaitReason::kTeamLimit;
                continue;
            }
            if (!fits(job, h) || ZoneRule(job).room(h.zone) == 0) {
                if (job.wait_reason != WaitReason::kHeldForImage) job.wait_reason = WaitReason::kNoRoom;
                continue;
            }
            const Machine* one[] = {&h};
            if (!job.room_in_record(in_.config, in_.record_format, one)) {
                job.wait_reason = WaitReason::kRecordFull;
                continue;
            }
            bool cached = h.cache.has(job.spec.image);
            if (!cached && (in_.now < job.image_preemption_until || worth_holding(job, h))) {
                job.wait_reason = WaitReason::kHeldForImage;
                continue;
            }
            if (job.spec.service() && spreads_better(job, h)) {
                job.wait_reason = WaitReason::kHeldForSpread;
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

    // Whether a task that the asker would have to fetch the image for should wait for a holder of it. A
    // replica's time counts from the first second: it waits only while a holder is likely to ask before the
    // image would be here, and no longer than that takes.
    bool worth_holding(const Job& job, const Machine& asker) {
        Seconds waited = in_.now - job.waiting_since;
        if (waited >= in_.settings.hold_s) return false;
        if (!job.spec.service()) return holders(job, asker, 1) > 0;
        const MachineType* f = cluster_.machine_type(asker.machine_type);
        Seconds fetch = f && f->fetch_gb_per_s > 0 ? job.spec.image_gb / f->fetch_gb_per_s : 0;
        if (waited >= constants::kReplicaImageWaitShare * fetch) return false;
        return static_cast<double>(holders(job, asker, UINT32_MAX)) * fetch > in_.config.heartbeat_interval_s;
    }

    // How much would be lost with the machine of what the job has elsewhere already: its replicas there, and
    // one that is too many on spot machines, which are taken back in waves.
    static size_t crowding(const Job& job, const Machine& h, size_t spot) {
        auto here = std::count_if(job.live.begin(), job.live.end(),
                                  [&](const auto& l) { return l.second.machine == h.name; });
        return static_cast<size_t>(here) + (h.spot && 2 * (spot + 1) > job.spec.tasks ? 1 : 0);
    }

    // Whether a machine that has room would be a better place for a replica than the one that asks. The
    // longer it waits the more it puts up with: one that asks is better than one that may ask.
    bool spreads_better(const Job& job, const Machine& asker) {
        size_t spot = 0;
        for (const auto& [task, p] : job.live)
            if (const Machine* h = cluster_.machine(p.machine); h && h->spot) ++spot;
        auto put_up_with =
            static_cast<size_t>((in_.now - job.waiting_since) / constants::kReplicaSpreadWait_s);
        size_t mine = crowding(job, asker, spot);
        if (mine <= put_up_with) return false;
        ZoneRule rule(job);
        count(schedulable_.size());
        return std::any_of(schedulable_.begin(), schedulable_.end(), [&](const Machine* h) {
            return h != &asker && fits(job, *h) && rule.room(h->zone) > 0 && crowding(job, *h, spot) < mine;
        });
    }

    // Other machines with the image and room, up to `most`.
    uint32_t holders(const Job& job, const Machine& asker, uint32_t most) {
        uint32_t n = 0;
        auto [it, fresh] = holders_.try_emplace(job.spec.image);
        if (fresh) {
            count(schedulable_.size());
            for (Machine* h : schedulable_)
                if (h->cache.has(job.spec.image)) it->second.push_back(h);
        }
        for (const Machine* h : it->second)
            if (n < most && h != &asker && fits(job, *h) && ZoneRule(job).room(h->zone) > 0) ++n;
        return n;
    }

    // Machines for n tasks of a gang, those with the image first; empty if there is not room for all.
    std::vector<Machine*> gang_machines(Job& job, const std::string& zone, uint32_t n, uint32_t& cached) {
        std::vector<Machine*> machines;
        // In a scheduling pass free room only shrinks: what a gang of this size lacked, the next one like it
        // lacks, too.
        const JobSpec& s = job.spec;
        uint32_t& most =
            most_places_.try_emplace({s.cpus, s.gpus, s.memory_gb, zone}, UINT32_MAX).first->second;
        if (n > most) return {};
        count(schedulable_.size());
        most = 0;
        for (Machine* h : schedulable_)
            if (zone.empty() || h->zone == zone) most += h->free.fits(s, constants::kMaxTasksPerHeartbeat);
        if (n > most) return {};
        for (Machine* h : schedulable_)
            if ((zone.empty() || h->zone == zone) && fits(job, *h)) machines.push_back(h);
        // Of machines that are alike, those that can be told first: a held report is answered at once, and
        // the next one comes soonest from where the last is oldest.
        auto key = [&](const Machine* h) {
            return std::tuple(!h->cache.has(job.spec.image), h->free.gpus, h->free.cpus, !h->holding,
                              h->last_heartbeat);
        };
        std::sort(machines.begin(), machines.end(), [&](const Machine* a, const Machine* b) {
            auto x = key(a), y = key(b);
            return x != y ? x < y : a->name < b->name;
        });
        std::vector<Machine*> out;
        ZoneRule rule(job);
        cached = 0;
        for (Machine* h : machines) {
            uint32_t k = room(job, *h).fits(job.spec, n - static_cast<uint32_t>(out.size()));
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

    void place_gang(const QueuedJob& q) {
        Job& job = *q.job;
        if (job.pending.empty()) return;
        bool fresh = job.live.empty();
        // Tasks of the last attempt are still on their machines; a gang that has started or is ending
        // takes no replacement.
        if (!fresh && (job.started || job.broken)) {
            job.wait_reason = WaitReason::kOldAttempt;
            return;
        }
        auto n = static_cast<uint32_t>(job.pending.size());
        if (!within_limit(job.spec, n)) {
            job.wait_reason = WaitReason::kTeamLimit;
            make_limit(q, n);
            return;
        }
        std::vector<Machine*> best;
        uint32_t best_cached = 0;
        std::vector<std::string> zones =
            job.spec.single_zone ? in_.config.zones : std::vector<std::string>{""};
        for (const auto& zone : zones) {
            uint32_t cached = 0;
            auto machines = gang_machines(job, zone, n, cached);
            if (!machines.empty() && (best.empty() || cached > best_cached)) {
                best = std::move(machines);
                best_cached = cached;
            }
        }
        if (best.empty()) {
            job.wait_reason = WaitReason::kGangRoom;
            return;
        }
        if (in_.now < job.image_preemption_until && best_cached < n) {
            job.wait_reason = WaitReason::kHeldForImage;
            return;
        }
        std::vector<const Machine*> on(best.begin(), best.end());
        if (!job.room_in_record(in_.config, in_.record_format, on)) {
            job.wait_reason = WaitReason::kRecordFull;
            return;
        }
        if (fresh) job.attempt = job.next_attempt++;
        for (Machine* h : best) bind(job, *job.pending.first(), *h, job.attempt);
    }

    void stop_for(const Job& gainer, const std::vector<Victim>& victims) {
        for (const Victim& v : victims) {
            log::debug("task_preempted",
                       {{"job", v.job->spec.id}, {"task", v.task}, {"for_job", gainer.spec.id}});
            ++v.machine->changes;
            jobs_.stop(*v.job, v.task, in_.now, true);
        }
    }

    // What comes free of a team's limit is kept for its gang that waits for it, from the team's work of lower
    // priority; the team's small jobs would else take each piece, and the gang would not start while they
    // keep coming. Once it starves, it is kept from all. It stays kept while machines are lacking: given back
    // to the team's other work, it would be lacking when the machines come free. Until then it is lent, as
    // the machines are, to work that is expected to end before `room_at`, when there is room for all of the
    // gang. Comes last of what is done for the gang, which would else count it twice.
    void keep_limit(const QueuedJob& q, std::optional<Seconds> room_at) {
        const Job& job = *q.job;
        bool lacks_room = job.wait_reason == WaitReason::kGangRoom && (q.starved || room_at);
        if (job.pending.empty() || !(job.wait_reason == WaitReason::kTeamLimit || lacks_room)) return;
        double n = job.pending.size();
        Seconds lent_until = q.starved ? in_.now : room_at.value_or(in_.now);
        kept_limit_[job.spec.team].push_back(
            {job.spec.priority, q.starved, {n * job.spec.cpus, n * job.spec.gpus}, lent_until});
    }

    // A gang that starves for want of its team's limit: the team's own lower work yields.
    void make_limit(const QueuedJob& q, uint32_t n) {
        const JobSpec& s = q.job->spec;
        const Team* team = in_.config.team(s.team);
        if (!team) return;
        if (!q.starved || ++sought_ > constants::kPreemptionSearchJobs) return;
        std::vector<Victim> victims;
        TeamUsage freed;
        for (const auto& [id, v] : jobs_.all()) {
            if (v->spec.team != s.team) continue;
            bool yields = v->spec.priority < s.priority && !v->cancelled && !v->spec.service() &&
                          (!v->spec.gang() || v->spec.tasks == 1);
            for (const auto& [task, p] : v->live) {
                if (p.stopping) {
                    freed.cpus += v->spec.cpus;
                    freed.gpus += v->spec.gpus;
                } else if (Machine* h = yields ? cluster_.machine(p.machine) : nullptr) {
                    victims.push_back({v.get(), task, &p, h});
                }
            }
        }
        auto enough = [&] { return cluster_.within_limit(in_.config, s, n, {-freed.cpus, -freed.gpus}); };
        sort_by_loss(victims);
        size_t count = 0;
        for (; !enough() && count < victims.size(); ++count) {
            freed.cpus += victims[count].job->spec.cpus;
            freed.gpus += victims[count].job->spec.gpus;
        }
        if (enough()) {
            victims.resize(count);
            stop_for(*q.job, victims);
        }
    }

    // A gang whose image takes long to fetch, and whose holders are busy with work that yields and loses
    // little: that work is stopped at once and the gang waits for the room, rather than for the fetch.
    void claim_holders(const QueuedJob& q) {
        Job& job = *q.job;
        if (job.image_preemption_tried_for == job.waiting_since || !job.live.empty() || !may_start(job))
            return;
        job.image_preemption_tried_for = job.waiting_since;
        uint32_t n = job.pending.size();
        if (!within_limit(job.spec, n)) return;
        // Only holders, and only work that need not save first.
        std::vector<Offer> offers;
        for (const Offer& o : offers_of(q)) {
            const MachineType* f = cluster_.machine_type(o.machine->machine_type);
            if (!o.machine->cache.has(job.spec.image) ||
                job.spec.image_gb < constants::kImagePreemptionMinFetch_s * f->fetch_gb_per_s)
                continue;
            offers.push_back(o);
            Offer& mine = offers.back();
            size_t kept = 0;
            for (size_t i = 0; i < mine.steps.size(); ++i) {
                const auto& step = mine.steps[i];
                if (!std::all_of(step.begin(), step.end(),
                                 [](const Victim& v) { return v.job->skips_saving(); }))
                    continue;
                if (kept != i) mine.steps[kept] = std::move(mine.steps[i]);
                mine.losses[kept++] = mine.losses[i];
            }
            mine.steps.resize(kept);
            mine.losses.resize(kept);
        }
        std::vector<std::string> zones =
            job.spec.single_zone ? in_.config.zones : std::vector<std::string>{""};
        Room best;
        for (const auto& zone : zones) {
            if (!zone.empty() && ZoneRule(job).room(zone) == 0) continue;
            Room r = room_in(zone, job, n, offers);
            if (r.whole && (!best.whole || r.better_than(best))) best = std::move(r);
        }
        if (!best.whole || best.victims.empty()) return;
        stop_for(job, best.victims);
        job.image_preemption_until = in_.now + constants::kImagePreemptionWait_s;
        keep(job, best.keep, in_.now);
    }

    // --- preemption and reservation -------------------------------------------------------------------

    // What one machine can give: places that are free or being freed, those that more victims free, and
    // those that come free by themselves.
    struct Offer {
        Machine* machine = nullptr;
        uint64_t changes = 0;                    // of the machine when this was found
        uint32_t places = 0;                     // without further victims
        std::vector<std::vector<Victim>> steps;  // each frees one more place
        std::vector<double> losses;              // of the steps
        std::vector<Seconds> later;              // when further places are expected
    };

    // Jobs that ask the same of machines and before which the same work yields: what machines offer them is
    // found once a scheduling pass, and again only of machines that have changed since. Looked at job by job,
    // a queue of 100 gangs cost 700 machines each, and a scheduling pass took longer than the leader's share
    // allows.
    using Demand = std::tuple<double, double, double, std::vector<std::string>, std::string, bool, JobKind,
                              PriorityClass, bool, std::string>;
    static Demand demand(const QueuedJob& q) {
        const JobSpec& s = q.job->spec;
        return {s.cpus, s.gpus, s.memory_gb, s.machine_types,    s.zone,
                s.spot, s.kind, s.priority,  q.within_guarantee, q.within_guarantee ? s.team : std::string()};
    }

    const std::vector<Offer>& offers_of(const QueuedJob& q) {
        auto [it, fresh] = offers_.try_emplace(demand(q));
        std::vector<Offer>& list = it->second;
        if (fresh) {
            count(schedulable_.size());
            for (Machine* h : schedulable_)
                if (q.job->spec.allows(h->machine_type, h->zone, h->spot)) list.push_back(offer(q, *h));
        }
        for (Offer& o : list)
            if (o.changes != o.machine->changes) {
                count(1);
                o = offer(q, *o.machine);
            }
        return list;
    }

    void keep(const Job& job, const std::vector<Machine*>& places, Seconds until) {
        for (Machine* h : places) {
            h->reserved += Resources::of(job.spec);
            h->reserved_until = std::max(h->reserved_until, until);
            ++h->changes;
        }
    }

    // When a placement is expected to end. Estimates are often wrong by half: what is overdue is expected
    // to take a part of its time again.
    Seconds expected_end(const Job& job, const Placement& p) const {
        Seconds since = p.running_since.value_or(in_.now);
        Seconds spent = in_.now - since;
        return in_.now + std::max(job.spec.estimate_s - spent, constants::kOverdueRemainingShare * spent);
    }

    bool yields(const Job& victim, const QueuedJob& q) const {
        if (&victim == q.job || victim.cancelled) return false;
        if (victim.spec.service()) return false;  // its replicas make room for nobody
        // Stopped, its only task would be what a starved job began with, and it would take the room again.
        if (in_.now - victim.accepted > in_.settings.begin_bound_s && victim.done.empty() &&
            victim.live.size() == 1)
            return false;
        bool guarded = within_guarantee_.contains(&victim) && !q.within_guarantee && !q.first;
        if (victim.spec.priority < q.job->spec.priority && !guarded) return true;
        return q.within_guarantee && victim.spec.team != q.job->spec.team &&
               !within_guarantee_.contains(&victim);
    }

    // What stopping a task costs, in GPU seconds: the progress since its last checkpoint, or what its start
    // took so far, and its next start.
    double loss(const Victim& v) const {
        const Placement& p = *v.placement;
        Seconds spent = in_.now - (p.running_since.value_or(p.bound_at));
        // A start counts for the aims only if the task is not stopped soon after it.
        if (!p.running_since || spent < constants::kMinRunToCountAsStarted_s)
            spent += constants::kMinRunToCountAsStarted_s;
        else if (v.job->spec.checkpoint_s > 0)
            spent = std::fmod(spent, v.job->spec.checkpoint_s);
        // A gang is stopped whole.
        uint32_t tasks = v.job->spec.gang() ? v.job->spec.tasks : 1;
        return tasks * v.job->spec.gpus * (spent + constants::kExpectedStartLatency_s);
    }

    // Those that lose least go first: arrays before gangs, what can save before what cannot, the lowest
    // priority, those that are late anyway, and the least lost by the stop.
    void sort_by_loss(std::vector<Victim>& victims) const {
        auto key = [&](const Victim& v) {
            return std::tuple(v.job->spec.gang(), v.job->spec.checkpoint_s <= 0, v.job->spec.priority,
                              !v.job->late(in_.config, in_.now), loss(v));
        };
        std::sort(victims.begin(), victims.end(), [&](const Victim& a, const Victim& b) {
            auto x = key(a), y = key(b);
            return x != y ? x < y : std::tie(a.job->spec.id, a.task) < std::tie(b.job->spec.id, b.task);
        });
    }

    Offer offer(const QueuedJob& q, Machine& h) {
        Offer o;
        o.machine = &h;
        o.changes = h.changes;
        Resources room = h.free;
        room -= h.reserved;
        std::vector<Victim> victims;
        std::vector<std::pair<Seconds, Resources>> ends;
        for (const auto& [v, task, p] : jobs_.on_machine(h.name)) {
            if (p->stopping) {
                room += Resources::of(v->spec);
                continue;
            }
            // Only gangs wait for what comes free by itself.
            if (q.job->spec.gang() && !v->spec.service())
                ends.emplace_back(expected_end(*v, *p), Resources::of(v->spec));
            // A service does not wait for a gang to end, which may take all the room there is.
            bool whole = !v->spec.gang() || v->spec.tasks == 1 || q.job->spec.service();
            if (yields(*v, q) && whole) victims.push_back({v, task, p, &h});
        }
        const uint32_t most = constants::kMaxTasksPerHeartbeat;  // no machine reports more tasks
        o.places = room.fits(q.job->spec, most);
        if (victims.size() > 1) sort_by_loss(victims);
        std::sort(ends.begin(), ends.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
        Resources then = room;
        for (uint32_t k = o.places; const auto& [end, amount] : ends) {
            then += amount;
            for (uint32_t now = then.fits(q.job->spec, most); k < now; ++k) o.later.push_back(end);
        }
        uint32_t places = o.places;
        std::vector<Victim> step;
        double lost = 0;
        for (const Victim& v : victims) {
            room += Resources::of(v.job->spec);
            step.push_back(v);
            lost += loss(v);
            uint32_t now = room.fits(q.job->spec, most);
            while (now > places) {
                o.steps.push_back(std::exchange(step, {}));
                o.losses.push_back(std::exchange(lost, 0));
                ++places;
            }
        }
        return o;
    }

    // Returns when all tasks of a gang are expected to have room, if room is kept for it.
    std::optional<Seconds> make_room(const QueuedJob& q) {
        Job& job = *q.job;
        if (job.pending.empty() || !may_start(job)) return std::nullopt;
        // The queue's head decides; looking at all of a long queue would cost its length times the machines.
        if (++sought_ > constants::kPreemptionSearchJobs) return std::nullopt;
        if (job.spec.service()) {
            make_room_for_replicas(q);
            return std::nullopt;
        }
        bool gang = job.spec.gang();
        if (gang && !job.live.empty() && (job.started || job.broken)) return std::nullopt;
        uint32_t n = job.pending.size();
        if (!gang) {
            // An array takes room from others only for what its team is guaranteed.
            if (!q.within_guarantee) return std::nullopt;
            // No more than its team's limit lets it use; what is stopped beyond that is stopped for nothing.
            n = most_within_limit(job.spec, n);
            if (n == 0) return std::nullopt;
        } else if (!within_limit(job.spec, n)) {
            return std::nullopt;
        }
        const std::vector<Offer>& offers = offers_of(q);
        std::vector<std::string> zones =
            job.spec.single_zone ? in_.config.zones : std::vector<std::string>{""};
        Room best;
        for (const auto& zone : zones) {
            if (!zone.empty() && ZoneRule(job).room(zone) == 0) continue;
            Room r = room_in(zone, job, n, offers);
            if (best.keep.empty() || r.better_than(best)) best = std::move(r);
        }
        // A gang that cannot be completed so stops nobody; it waits for what comes free by itself.
        bool stop = (best.whole || !gang) && in_.now - job.waiting_since >= in_.settings.preempt_after_s;
        if (stop) {
            stop_for(job, best.victims);
        }
        if (!gang) return std::nullopt;
        Seconds room_at = best.whole ? in_.now : best.at;
        keep(job, best.keep, room_at);
        return room_at;
    }

    // Replicas that have no room on any machine, as far as zones allow, get that of lower work at once.
    void make_room_for_replicas(const QueuedJob& q) {
        const Job& job = *q.job;
        uint32_t left = most_within_limit(job.spec, job.pending.size());
        if (left == 0 || in_.now - job.waiting_since < in_.settings.preempt_after_s) return;
        const std::vector<Offer>& offers = offers_of(q);
        ZoneRule rule(job);
        auto take = [&](const Offer& o) {
            if (left == 0 || rule.room(o.machine->zone) == 0) return false;
            rule.add(o.machine->zone);
            --left;
            return true;
        };
        struct Step {
            double loss;
            const Offer* offer;
            size_t index;
        };
        std::vector<Step> steps;
        count(offers.size());
        for (const Offer& o : offers) {
            if (avoids(job, *o.machine)) continue;
            for (uint32_t i = 0; i < o.places; ++i)
                if (!take(o)) break;
            for (size_t i = 0; i < o.steps.size(); ++i) steps.push_back({o.losses[i], &o, i});
        }
        if (left == 0) return;
        // A machine's steps build on each other; the first of them loses least.
        std::sort(steps.begin(), steps.end(), [](const Step& a, const Step& b) {
            return std::tie(a.index, a.loss, a.offer->machine->name) <
                   std::tie(b.index, b.loss, b.offer->machine->name);
        });
        std::vector<Victim> victims;
        for (const Step& s : steps) {
            if (!take(*s.offer)) continue;
            const auto& v = s.offer->steps[s.index];
            victims.insert(victims.end(), v.begin(), v.end());
        }
        stop_for(job, victims);
    }

    // Where the places of a job that waits could come from in one zone.
    struct Room {
        std::vector<Machine*> keep;  // one entry a place
        std::vector<Victim> victims;
        bool whole = false;  // with the victims all tasks have a place
        Seconds at = 0;      // when all have one without them
        bool better_than(const Room& o) const {
            return std::tuple(!whole, whole ? victims.size() : 0, at) <
                   std::tuple(!o.whole, o.whole ? o.victims.size() : 0, o.at);
        }
    };

    Room room_in(const std::string& zone, const Job& job, uint32_t n, const std::vector<Offer>& offers) {
        Room r;
        uint32_t left = n;
        struct Step {
            const Offer* offer;
            size_t index;
            auto key(const Job& j) const {
                return std::tuple(!offer->machine->cache.has(j.spec.image), offer->losses[index], offer,
                                  index);
            }
        };
        std::vector<Step> steps;
        std::vector<std::pair<Seconds, Machine*>> later;
        count(offers.size());
        for (const Offer& o : offers) {
            if ((!zone.empty() && o.machine->zone != zone) || avoids(job, *o.machine)) continue;
            uint32_t k = std::min(left, o.places);
            left -= k;
            for (uint32_t i = 0; i < k; ++i) r.keep.push_back(o.machine);
            for (size_t i = 0; i < o.steps.size(); ++i) steps.push_back({&o, i});
            for (Seconds t : o.later) later.emplace_back(t, o.machine);
        }
        std::vector<Machine*> free = r.keep;
        uint32_t missing = left;
        // Machines that have the image first, then those where least is lost. Steps of one machine are
        // taken in order, so that at most as many are passed over as are taken.
        auto first_steps =
            steps.begin() + static_cast<long>(std::min<size_t>(steps.size(), size_t{2} * left));
        std::partial_sort(steps.begin(), first_steps, steps.end(),
                          [&](const Step& a, const Step& b) { return a.key(job) < b.key(job); });
        steps.erase(first_steps, steps.end());
        std::map<const Offer*, size_t> taken;
        for (const Step& s : steps) {
            for (size_t i = taken[s.offer]; i <= s.index && left > 0; ++i) {
                const auto& v = s.offer->steps[i];
                r.victims.insert(r.victims.end(), v.begin(), v.end());
                r.keep.push_back(s.offer->machine);
                taken[s.offer] = i + 1;
                --left;
            }
        }
        r.whole = left == 0;
        if (r.whole) return r;
        // Even with victims there is not room for all: the places that come free first are kept.
        r.keep = std::move(free);
        auto first_later = later.begin() + static_cast<long>(std::min<size_t>(later.size(), missing));
        std::partial_sort(later.begin(), first_later, later.end(), [](const auto& a, const auto& b) {
            return a.first != b.first ? a.first < b.first : a.second->name < b.second->name;
        });
        r.at = in_.now;
        for (const auto& [t, h] : later) {
            if (missing == 0) break;
            r.keep.push_back(h);
            r.at = t;
            --missing;
        }
        if (missing > 0) r.at = in_.now + constants::kNoExpectedEnd_s;
        return r;
    }

    Cluster& cluster_;
    JobTable& jobs_;
    const SchedulerInput& in_;
    std::set<const Job*> within_guarantee_;
    struct KeptLimit {
        PriorityClass priority;
        bool starved;
        TeamUsage use;
        Seconds lent_until;  // to work that is expected to end before
    };
    std::map<std::string, std::vector<KeptLimit>> kept_limit_;  // for gangs that wait for their team's limit
    std::vector<Machine*> schedulable_;
    std::map<Demand, std::vector<Offer>> offers_;
    std::map<std::string, std::vector<Machine*>> holders_;                             // by image
    std::map<std::tuple<double, double, double, std::string>, uint32_t> most_places_;  // by size and zone
    std::vector<Binding> bound_;
    size_t sought_ = 0;
};

}  // namespace

std::vector<Binding> schedule(Cluster& cluster, JobTable& jobs, const SchedulerInput& in) {
    return Scheduler(cluster, jobs, in).run();
}

}  // namespace hareshore

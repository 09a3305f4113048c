#include "fleet/scaling_plan.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "base/constants.h"

namespace hareshore {

namespace {

// A machine as the plan sees it: there, on its way, or to be rented.
struct Slot {
    const Machine* machine = nullptr;  // null: not rented yet, or only ordered
    MachineKind kind;
    Resources free;
    Resources whole;
    Resources soon;      // expected to come free before a machine rented now would be up
    bool fresh = false;  // to be rented by this plan
    bool used = false;   // waiting work was put on it
};

class Planner {
  public:
    Planner(const Cluster& c, const JobTable& j, const ScalingInput& in) : cluster_(c), jobs_(j), in_(in) {}

    ScalingPlan run() {
        judge();
        collect();
        SchedulerInput m{in_.config, in_.settings, in_.now, {}};
        auto queue = queue_order(jobs_, m, jobs_within_guarantee(in_.config, jobs_));
        least_ = least_of(queue);
        for (size_t i = 0; i < slots_.size(); ++i) open_.push_back(i);
        for (const auto& q : queue) cover(*q.job);
        reserve();
        give_back_idle();
        consolidate();
        std::map<MachineKind, int> wanted;
        for (const auto& s : slots_)
            if (s.fresh) ++wanted[s.kind];
        for (const auto& [kind, n] : wanted) plan_.rent.push_back({kind, n});
        return std::move(plan_);
    }

  private:
    void scale_in(const Machine& h, std::string why, bool silent = false) {
        plan_.scale_in.push_back(h.name);
        if (silent) plan_.silent.insert(h.name);
        plan_.reasons[h.name] = std::move(why);
    }

    // Machines that are of no use. A machine is returned with tasks on it only when nothing can be saved
    // there any more: the deletion is also what proves that its tasks are gone.
    void judge() {
        find_cut_zones();
        for (const auto& [name, h] : cluster_.machines) {
            if (h->deleting) continue;
            const MachineType* f = cluster_.machine_type(h->machine_type);
            bool cut = plan_.cut.contains(h->zone);
            Seconds patience = cut ? constants::kPartitionTimeoutLeases * in_.config.lease_s : silent_after();
            if (h->phase == MachinePhase::kFailed) {
                scale_in(*h, "it failed");
            } else if (h->phase == MachinePhase::kRunning && h->reported && !h->holding &&
                       quiet(*h) > patience) {
                scale_in(*h, "it is unreachable", true);
            } else if (h->phase == MachinePhase::kRunning && !h->reported &&
                       quiet(*h) > patience + (cut ? 0 : in_.config.lease_s)) {
                scale_in(*h, "it never reported", true);
            } else if (h->phase == MachinePhase::kBooting && f &&
                       in_.now - h->created_at >
                           constants::kBootTimeoutFactor * f->boot_s + constants::kBootTimeoutExtra_s &&
                       quiet(*h) > silent_after()) {
                scale_in(*h, "it does not come up", true);
            } else if (h->phase == MachinePhase::kBooting && !f &&
                       quiet(*h) > patience + in_.config.lease_s) {
                scale_in(*h, "nothing is known of it",
                         true);  // a record names it, the cloud does not list it
            } else if (h->unreachable_since && in_.now - *h->unreachable_since > unheard_patience(cut)) {
                scale_in(*h, "its reports arrive, but it does not hear their answers");
            } else if (h->draining && h->idle()) {
                scale_in(*h, "its work was moved");
            } else if (h->cordoned && h->idle()) {
                scale_in(*h, h->cordon_reason);
            }
        }
    }

    // Counted anew from the end of a cut: when half of a zone is heard again, the rest is still on its way,
    // and was returned at once for a silence that was the cut's.
    Seconds quiet(const Machine& h) const {
        auto cut = in_.cut_at.find(h.zone);
        Seconds since = cut == in_.cut_at.end() || plan_.cut.contains(h.zone) ? -1e9 : cut->second;
        return in_.now - std::max({h.last_heartbeat, in_.leading_since, since});
    }

    bool late(const Machine& h) const {
        return !h.holding &&
               quiet(h) > constants::kSilentAfterHeartbeatIntervals * in_.config.heartbeat_interval_s;
    }

    // When most of a zone's machines are quiet at once, the zone is likely cut off from this controller: they
    // are given longer, nothing is rented there, and they are no room to count on. What runs there has ended
    // with its leases; returned, they would be missing when the cut ends, and new ones would not be heard
    // either. Machines that the cloud has up count, too, so that a new leader sees a cut that is older than
    // it. Counted early, lest the first to be judged are taken one by one.
    void find_cut_zones() {
        std::map<std::string, std::pair<size_t, size_t>> zones;  // quiet, known
        for (const auto& [name, h] : cluster_.machines) {
            bool up = h->reported || (h->listed && h->phase == MachinePhase::kRunning);
            if (!up || h->phase == MachinePhase::kFailed) continue;
            auto& [quiet, known] = zones[h->zone];
            ++known;
            if (late(*h) || h->unreachable_since) ++quiet;
        }
        for (const auto& [zone, n] : zones)
            if (n.first >= 3 && n.first * 2 > n.second) plan_.cut.insert(zone);
    }

    // A worker silent this long is unreachable: reports are missing, not only on a detour to another node.
    Seconds silent_after() const {
        return constants::kSilentAfterHeartbeatIntervals * in_.config.heartbeat_interval_s +
               constants::kWorkerFailover_s;
    }

    // What runs on such a machine ends with its lease; then nothing is lost by returning it.
    Seconds unheard_patience(bool cut) const { return (cut ? 2 : 1) * in_.config.lease_s; }

    bool leaving(const Machine& h) const {
        return h.deleting || h.cordoned || h.draining || h.spot_reclaim_at || plan_.reasons.contains(h.name);
    }

    void collect() {
        for (const auto& [name, h] : cluster_.machines) {
            const MachineType* f = cluster_.machine_type(h->machine_type);
            if (!f || leaving(*h) || h->phase == MachinePhase::kFailed) continue;
            // A report from before this epoch may be a late copy, even of a machine long deleted: until the
            // machine takes up the epoch or the cloud lists it, it is no room to count on.
            if (h->reported && !h->current && !h->listed) continue;
            if (h->unreachable_since) continue;
            if (plan_.cut.contains(h->zone) && late(*h)) continue;
            Slot s;
            s.machine = h.get();
            s.kind = {h->machine_type, h->zone, h->spot};
            s.whole = {f->cpus, f->gpus, f->memory_gb};
            s.free = h->free;
            for (const auto& [j, task, placement] : jobs_.on_machine(name)) {
                const Placement& p = *placement;
                if (!j->spec.service() && p.running_since &&
                    *p.running_since + j->spec.estimate_s < in_.now + f->boot_s &&
                    in_.now - *p.running_since < 2 * j->spec.estimate_s)
                    s.soon += Resources::of(j->spec);
            }
            slots_.push_back(s);
            ++in_zone_[h->zone];
        }
        for (const auto& r : in_.on_order)
            for (int i = 0; i < r.number; ++i) add(r.kind, false);
    }

    bool add(const MachineKind& kind, bool fresh) {
        const MachineType* f = cluster_.machine_type(kind.machine_type);
        if (!f) return false;
        int most = in_.settings.max_machines;
        if (fresh && most > 0 && in_zone_[kind.zone] >= most) return false;
        if (fresh && ordered_ >= most_ordered()) return false;
        Slot s;
        s.kind = kind;
        s.whole = s.free = {f->cpus, f->gpus, f->memory_gb};
        s.fresh = fresh;
        if (fresh) open_.push_back(slots_.size());
        slots_.push_back(s);
        ++in_zone_[kind.zone];
        ++ordered_;
        return true;
    }

    // The cloud's capacity bounds a fleet; the requests on their way are bounded by what it can be asked for
    // in a second, however many tasks wait.
    size_t most_ordered() const {
        return constants::kMachinesPerScaleOutRequest *
               static_cast<size_t>(std::max(1.0, in_.config.cloud_rps));
    }

    bool refused(const MachineKind& k) const {
        if (plan_.cut.contains(k.zone)) return true;
        auto it = in_.refused_until.find(k);
        return it != in_.refused_until.end() && in_.now < it->second;
    }

    // Kinds that the job may run on, cheapest for its tasks first.
    std::vector<MachineKind> kinds(const JobSpec& s) const {
        std::vector<std::tuple<double, int, MachineKind>> out;
        for (const auto& f : cluster_.machine_types) {
            Resources whole{f.cpus, f.gpus, f.memory_gb};
            uint32_t k = whole.fits(s, constants::kMaxTasksPerJob);
            if (k == 0) continue;
            for (const auto& z : f.zones)
                for (bool spot : {true, false}) {
                    MachineKind kind{f.name, z, spot};
                    if (!s.allows(f.name, z, spot) || refused(kind)) continue;
                    auto n = in_zone_.find(z);
                    out.emplace_back((spot ? f.spot_price : f.price) / k, n == in_zone_.end() ? 0 : n->second,
                                     kind);
                }
        }
        std::sort(out.begin(), out.end());
        std::vector<MachineKind> list;
        list.reserve(out.size());
        for (auto& [price, n, kind] : out) list.push_back(kind);
        return list;
    }

    static uint32_t put(Slot& s, const JobSpec& spec, uint32_t n, Resources Slot::*of = &Slot::free) {
        uint32_t k = (s.*of).fits(spec, n);
        for (uint32_t i = 0; i < k; ++i) s.*of -= Resources::of(spec);
        if (k > 0) s.used = true;
        return k;
    }

    // Puts a job's waiting tasks on what is there or coming; what is left asks for machines. Like tasks
    // are counted as a class: the cost is one step a machine, however many tasks wait.
    void cover(const Job& job) {
        if (in_.now < job.not_before) return;
        const JobSpec& s = job.spec;
        uint32_t n = job.pending.size();
        // Machines without room for any that waits are passed over by all that come after.
        std::erase_if(
            open_, [&](size_t i) { return !slots_[i].free.holds(least_) && !slots_[i].soon.holds(least_); });
        if (in_.steps) *in_.steps += open_.size();
        if (!s.gang()) {
            while (n > 1 && !cluster_.within_limit(in_.config, s, n)) n /= 2;
        }
        if (!cluster_.within_limit(in_.config, s, n)) return;
        if (s.gang() && !job.live.empty()) return;
        if (!s.single_zone || (s.tasks == 1)) {
            // What must be apart counts on no more of a zone than it may use.
            ZoneRule rule(job);
            auto put_apart = [&](Slot& x) {
                uint32_t k = put(x, s, std::min(n, rule.room(x.kind.zone)));
                for (uint32_t i = 0; i < k; ++i) rule.add(x.kind.zone);
                n -= k;
            };
            for (size_t i : open_)
                if (Slot& x = slots_[i]; n > 0 && s.allows(x.kind.machine_type, x.kind.zone, x.kind.spot))
                    put_apart(x);
            // Tasks that need not start together can as well wait for room that comes free before a new
            // machine is up; not those with a deadline, since estimates are often wrong.
            if (!s.gang() && !s.service() && !s.due_s)
                for (size_t i : open_)
                    if (Slot& x = slots_[i];
                        n > 0 && x.machine && s.allows(x.kind.machine_type, x.kind.zone, x.kind.spot))
                        n -= put(x, s, n, &Slot::soon);
            for (const MachineKind& kind : kinds(s)) {
                while (n > 0 && rule.room(kind.zone) > 0 && add(kind, true)) put_apart(slots_.back());
            }
            return;
        }
        cover_in_zone(job, n);
    }

    // All tasks in one zone: the zone that lacks the fewest machines.
    void cover_in_zone(const Job& job, uint32_t n) {
        const JobSpec& s = job.spec;
        ZoneRule rule(job);
        std::string best;
        uint32_t best_lack = UINT32_MAX;
        auto options = kinds(s);
        for (const auto& zone : in_.config.zones) {
            if (rule.room(zone) == 0) continue;
            uint32_t have = 0;
            for (size_t i : open_)
                if (const Slot& x = slots_[i];
                    x.kind.zone == zone && s.allows(x.kind.machine_type, zone, x.kind.spot))
                    have += x.free.fits(s, n);
            uint32_t lack = have >= n ? 0 : n - have;
            bool rentable = std::any_of(options.begin(), options.end(),
                                        [&](const MachineKind& k) { return k.zone == zone; });
            if (lack > 0 && !rentable) continue;
            if (lack < best_lack) {
                best = zone;
                best_lack = lack;
            }
        }
        if (best.empty()) return;
        for (size_t i : open_)
            if (Slot& x = slots_[i];
                n > 0 && x.kind.zone == best && s.allows(x.kind.machine_type, best, x.kind.spot))
                n -= put(x, s, n);
        for (const MachineKind& kind : options) {
            if (kind.zone != best) continue;
            while (n > 0 && add(kind, true)) n -= put(slots_.back(), s, n);
        }
    }

    bool is_idle(const Slot& s) const { return !s.used && (!s.machine || s.machine->idle()); }

    // The paper's thresholds: at least so many machines, and so many idle ones, in each zone.
    void reserve() {
        for (const auto& zone : in_.config.zones) {
            int idle = 0;
            for (const Slot& s : slots_)
                if (s.kind.zone == zone && is_idle(s)) ++idle;
            int lack =
                std::max(in_.settings.min_idle_machines - idle, in_.settings.min_machines - in_zone_[zone]);
            for (const MachineType& f : cluster_.machine_types) {
                if (std::find(f.zones.begin(), f.zones.end(), zone) == f.zones.end()) continue;
                for (bool spot : {true, false}) {
                    MachineKind kind{f.name, zone, spot};
                    if ((spot && !in_.spot_allowed) || refused(kind)) continue;
                    while (lack > 0 && add(kind, true)) --lack;
                }
            }
        }
    }

    void give_back_idle() {
        for (const auto& zone : in_.config.zones) {
            std::vector<const Slot*> idle;
            for (const Slot& s : slots_)
                if (s.kind.zone == zone && s.machine && s.machine->reported && is_idle(s)) idle.push_back(&s);
            // The dearest go first, then those idle longest.
            std::sort(idle.begin(), idle.end(), [](const Slot* a, const Slot* b) {
                return std::tuple(a->kind.spot, a->machine->idle_since, a->machine->name) <
                       std::tuple(b->kind.spot, b->machine->idle_since, b->machine->name);
            });
            int spare = static_cast<int>(idle.size()) - in_.settings.min_idle_machines;
            spare = std::min(spare, in_zone_[zone] - in_.settings.min_machines);
            Seconds patience = calm() ? constants::kCalmIdleReturn_s : in_.settings.idle_return_s;
            for (const Slot* s : idle) {
                if (spare <= 0) break;
                if (in_.now -
                        std::max(s->machine->idle_since.value_or(in_.leading_since), in_.leading_since) <
                    patience)
                    continue;
                scale_in(*s->machine, "it was idle");
                --spare;
            }
        }
    }

    // Whether a machine's work can be moved at little cost: everything on it can save, has run for a while
    // and is expected to go on for longer than the move takes.
    bool movable(const Machine& h) const {
        if (h.placed_tasks == 0 || !h.schedulable) return false;
        size_t tasks = 0;
        for (const auto& [j, task, placement] : jobs_.on_machine(h.name)) {
            const Placement& p = *placement;
            if (j->spec.gang() && j->spec.tasks > 1) return false;
            if (j->spec.checkpoint_s <= 0 || p.stopping || !p.running_since) return false;
            Seconds ran = in_.now - *p.running_since;
            if (ran < constants::kConsolidationMinRun_s ||
                j->spec.estimate_s - ran < constants::kConsolidationMinRemaining_s)
                return false;
            ++tasks;
        }
        return tasks == h.placed_tasks;
    }

    // No job has come for a while: what is idle now is not likely to be needed soon.
    bool calm() const { return in_.now - jobs_.last_arrival() > in_.settings.calm_s; }

    // In a calm, when nothing waits, the work of a machine that is little used moves to where there is room.
    // The protocol names the return of a machine as a reason to stop a task; progress is saved.
    void consolidate() {
        if (!calm()) return;
        for (const auto& [id, j] : jobs_.all())
            if (j->waiting()) return;
        for (const auto& [name, h] : cluster_.machines)
            if (h->draining) return;  // one at a time
        std::vector<const Slot*> from;
        for (const Slot& s : slots_)
            if (s.machine && movable(*s.machine)) from.push_back(&s);
        std::sort(from.begin(), from.end(), [](const Slot* a, const Slot* b) {
            return std::tuple(a->kind.spot, -a->free.gpus, -a->free.cpus, a->machine->name) <
                   std::tuple(b->kind.spot, -b->free.gpus, -b->free.cpus, b->machine->name);
        });
        for (const Slot* s : from) {
            std::vector<Slot> others;
            for (const Slot& o : slots_)
                if (&o != s && o.machine && o.machine->schedulable &&
                    (o.machine->placed_tasks > 0 || (o.kind.spot && !s->kind.spot)))
                    others.push_back(o);
            bool all = true;
            for (const auto& r : jobs_.on_machine(s->machine->name)) {
                const JobSpec& spec = r.job->spec;
                bool put_it = false;
                for (Slot& o : others)
                    if (!put_it && spec.allows(o.kind.machine_type, o.kind.zone, o.kind.spot) &&
                        (!spec.single_zone || spec.tasks == 1) && !spec.spread_across_zones)
                        put_it = put(o, spec, 1) > 0;
                all = all && put_it;
            }
            if (!all) continue;
            plan_.drain.push_back(s->machine->name);
            return;
        }
    }

    const Cluster& cluster_;
    const JobTable& jobs_;
    const ScalingInput& in_;
    std::vector<Slot> slots_;
    std::vector<size_t> open_;  // those with room for something that waits
    Resources least_;           // what no waiting task asks less than
    std::map<std::string, int> in_zone_;
    size_t ordered_ = 0;  // machines asked for and not rented yet, with those of this plan
    ScalingPlan plan_;
};

}  // namespace

std::vector<std::string> machines_holding_cancelled(const Cluster& cluster, const JobTable& jobs,
                                                    const Config& config, Seconds now,
                                                    Seconds leading_since) {
    std::vector<std::string> out;
    Seconds lease = config.lease_s * (1 + constants::kClockDriftRate) + constants::kLeaseExpiryMargin_s;
    Seconds quiet = constants::kSilentAfterHeartbeatIntervals * config.heartbeat_interval_s;
    // A new leader, and one that stood still, hears its workers first.
    if (now - leading_since <= quiet) return out;
    for (const auto& [id, job] : jobs.all()) {
        if (!job->cancelled) continue;
        for (const auto& [task, p] : job->live) {
            auto it = cluster.machines.find(p.machine);
            if (it == cluster.machines.end() || it->second->deleting) continue;
            const Machine& h = *it->second;
            // Its user may have been told long before a leader that inherits it, or one that learns of it
            // late: then the machine's silence counts.
            bool unheard = job->cancelled_before && !h.reported;
            if (unheard || now - h.last_heartbeat > lease || now - job->cancelled_at > lease)
                out.push_back(h.name);
        }
    }
    std::sort(out.begin(), out.end());
    out.erase(std::unique(out.begin(), out.end()), out.end());
    return out;
}

ScalingPlan plan_scaling(const Cluster& cluster, const JobTable& jobs, const ScalingInput& in) {
    return Planner(cluster, jobs, in).run();
}

}  // namespace hareshore

#include "jobs/table.h"

#include <algorithm>

#include "base/constants.h"
#include "base/log.h"
#include "workers/command.h"

namespace hareshore {

Job* JobTable::find(const std::string& id) {
    auto it = jobs_.find(id);
    return it == jobs_.end() ? nullptr : it->second.get();
}
const Job* JobTable::find(const std::string& id) const {
    auto it = jobs_.find(id);
    return it == jobs_.end() ? nullptr : it->second.get();
}

Job& JobTable::load(const JobRecord& r, uint64_t mod_revision, Seconds now, WallTime wall) {
    quarantined_.erase(r.spec.id);
    auto& slot = jobs_[r.spec.id];
    if (slot) {
        // Only users change a record besides this leader, and only to cancel the job.
        if (mod_revision > slot->mod_revision) slot->mod_revision = mod_revision;
        if (r.cancelled && !slot->cancelled) cancel(*slot, now);
        return *slot;
    }
    slot = std::make_unique<Job>();
    last_arrival_ = now;
    Job& j = *slot;
    j.spec = r.spec;
    j.accepted_wall = r.accepted_wall;
    j.accepted = now - std::max(0.0, wall - r.accepted_wall);
    // A job that never started has waited since it came, also before this leader.
    j.waiting_since = r.live.empty() && r.done.empty() && r.next_attempt <= 1 ? j.accepted : now;
    if (!j.spec.service()) j.done = r.done;  // earlier versions took a replica's exit for its end
    j.next_attempt = r.next_attempt;
    j.saw_all_starts = r.next_attempt <= 1;
    j.mod_revision = mod_revision;
    j.pending = Ranges::whole(r.spec.tasks);
    for (uint32_t n = 0; n < r.spec.tasks && !j.done.empty(); ++n)
        if (j.done.has(n)) j.pending.remove(n);
    for (const auto& [task, b] : r.live) {
        if (j.done.has(task)) continue;
        Placement p;
        p.attempt = b.attempt;
        p.machine = b.machine;
        p.zone = b.zone;
        p.inherited = true;
        p.bound_at = now;
        enter(b.machine, {&j, task, &(j.live[task] = p)});
        j.pending.remove(task);
        // A gang's tasks share an attempt. Whether it has started is not kept: it counts as started, so
        // that no replacement joins an attempt that has already run.
        j.attempt = std::max(j.attempt, b.attempt);
        j.started = true;
    }
    if (j.spec.gang() && !j.live.empty() && j.live.size() < j.spec.tasks) {
        j.broken = true;
        stop_gang(j, 0);
    }
    if (r.cancelled) {
        cancel(j, now);
        j.cancelled_before = true;
    }
    return j;
}

void JobTable::erase(const std::string& id) {
    Job* j = find(id);
    if (!j) return;
    for (const auto& [task, p] : j->live) leave(p.machine, *j, task);
    jobs_.erase(id);
}

void JobTable::clear() {
    jobs_.clear();
    dirty_.clear();
    queued_.clear();
    by_machine_.clear();
    changed_machines_.clear();
    quarantined_.clear();
}

void JobTable::touch(Job& job) {
    ++job.version;
    requeue(job);
}

void JobTable::requeue(Job& job) {
    if (queued_.insert(job.spec.id).second) dirty_.push_back(job.spec.id);
}

void JobTable::requeue_all() {
    for (auto& [id, job] : jobs_)
        if (job->dirty()) requeue(*job);
}

void JobTable::quarantine(const std::string& id) {
    erase(id);
    quarantined_.insert(id);
}

std::vector<Job*> JobTable::take_dirty(size_t most_ops, size_t most_bytes, uint64_t record_format) {
    std::vector<Job*> out;
    std::vector<std::string> rest;
    size_t ops = 0;
    size_t bytes = 0;
    bool full = false;
    for (auto& id : dirty_) {
        Job* j = find(id);
        if (!j || !j->dirty()) {
            queued_.erase(id);
            continue;
        }
        size_t cost = j->finished() || j->cancelled ? 2 : 1;
        size_t size = j->record_bytes(record_format);
        full = full || ops + cost > most_ops || (bytes > 0 && bytes + size > most_bytes);
        if (full) {
            rest.push_back(std::move(id));
            continue;
        }
        ops += cost;
        bytes += size;
        queued_.erase(id);
        out.push_back(j);
    }
    dirty_ = std::move(rest);
    return out;
}

Placement& JobTable::bind(Job& job, uint32_t task, const Machine& machine, uint64_t attempt, Seconds now) {
    for (uint64_t record_format = 1; record_format <= kNewestRecordFormat; ++record_format) {
        auto& s = job.sizes[record_format - 1];
        if (s.version == job.version)
            s = {job.version + 1, s.bytes + job.placement_bytes(record_format, machine), false};
    }
    touch(job);
    Placement p;
    p.attempt = attempt;
    p.machine = machine.name;
    p.zone = machine.zone;
    p.version = job.version;
    p.bound_at = now;
    job.pending.remove(task);
    Placement& kept = job.live[task] = p;
    enter(machine.name, {&job, task, &kept});
    return kept;
}

void JobTable::enter(const std::string& machine, const PlacedTask& resident) {
    by_machine_[machine].push_back(resident);
    changed_machines_.insert(machine);
}

void JobTable::leave(const std::string& machine, const Job& job, uint32_t task) {
    auto it = by_machine_.find(machine);
    if (it == by_machine_.end()) return;
    changed_machines_.insert(machine);
    std::erase_if(it->second, [&](const PlacedTask& r) { return r.job == &job && r.task == task; });
    if (it->second.empty()) by_machine_.erase(it);
}

// The task is on no machine any more: it waits again, unless it is done.
void JobTable::release(Job& job, uint32_t task, Seconds now) {
    auto it = job.live.find(task);
    if (it == job.live.end()) return;
    leave(it->second.machine, job, task);
    job.live.erase(it);
    if (!job.done.has(task)) {
        job.interrupted.add(task);
        if (job.pending.empty()) job.waiting_since = now;
        job.pending.add(task);
    }
    touch(job);
    settle(job);
}

void JobTable::settle(Job& job) {
    if (job.live.empty()) job.started = job.broken = false;
}

void JobTable::complete(Job& job, uint32_t task, Seconds now) {
    job.done.add(task);
    job.pending.remove(task);
    job.failed_on.clear();
    job.failing = false;
    job.backoff_s = 0;
    release(job, task, now);
    touch(job);
    if (!job.spec.gang()) return;
    // A gang completes together. Its other tasks still count on their machines until they report it.
    for (uint32_t n = 0; n < job.spec.tasks; ++n) {
        job.done.add(n);
        job.pending.remove(n);
    }
    while (!job.live.empty()) release(job, job.live.begin()->first, now);
}

void JobTable::cancel(Job& job, Seconds now) {
    if (!job.cancelled) job.cancelled_at = now;
    job.cancelled = true;
    for (auto& [task, p] : job.live) {
        p.stopping = true;
        p.grace_s = 0;
        urgent_.insert(p.machine);
    }
    // What this leader bound and never sent cannot be on a machine.
    for (auto it = job.live.begin(); it != job.live.end();) {
        uint32_t task = it->first;
        bool unsent = !it->second.inherited && it->second.sent_sequence == 0 && !it->second.seen;
        ++it;
        if (unsent) release(job, task, now);
    }
    touch(job);
}

void JobTable::repeat_stops(Seconds before) {
    for (const auto& [id, job] : jobs_)
        if (job->cancelled && job->cancelled_at <= before)
            for (const auto& [task, p] : job->live) urgent_.insert(p.machine);
}

void JobTable::stop_gang(Job& job, Seconds grace) {
    for (auto& [task, p] : job.live) {
        if (p.stopping && p.grace_s <= grace) continue;
        p.stopping = true;
        p.grace_s = grace;
        urgent_.insert(p.machine);
    }
}

void JobTable::stop(Job& job, uint32_t task, Seconds /*now*/, bool skip_saving) {
    Seconds grace = job.spec.save_s + constants::kCheckpointMargin_s;
    // A replica has nothing to save: its successor is waited for.
    if (job.spec.service()) grace = 0;
    // On average half a checkpoint interval is lost, against a save during which the room is not free.
    if (skip_saving && job.skips_saving()) grace = 0;
    if (job.spec.gang()) {
        stop_gang(job, grace);
        job.broken = true;
        return;
    }
    auto it = job.live.find(task);
    if (it == job.live.end() || it->second.stopping) return;
    it->second.stopping = true;
    it->second.grace_s = grace;
    urgent_.insert(it->second.machine);
}

void JobTable::machine_deleted(const std::string& machine, Seconds now) {
    auto tasks = on_machine(machine);
    for (const auto& r : tasks) {
        if (r.job->spec.gang() && r.job->started) r.job->broken = true;
        release(*r.job, r.task, now);
    }
}

// One failed task says little. A machine that fails different jobs is condemned; a job that fails on
// several machines is blamed itself, waits longer each time, and no longer counts against machines.
void JobTable::failed(Cluster& cluster, Machine& machine, Job& job, Seconds now) {
    job.failed_on.insert(machine.name);
    if (job.failed_on.size() >= static_cast<size_t>(constants::kFailingAfterMachines)) {
        if (!job.failing) {
            job.failing = true;
            log::info("job_marked_failing", {{"job", job.spec.id}, {"machines", job.failed_on.size()}});
            for (auto& [name, h] : cluster.machines) h->failed_jobs.erase(job.spec.id);
        }
    }
    if (job.failed_on.size() >= 2) {
        job.backoff_s = std::clamp(job.backoff_s * 2, constants::kJobBackoff_s, constants::kJobBackoffMax_s);
        job.not_before = now + job.backoff_s;
    }
    if (!job.failing) count_failure(machine, job);
}

void JobTable::count_failure(Machine& machine, const Job& job) {
    machine.failed_jobs.insert(job.spec.id);
    if (machine.failed_jobs.size() >= static_cast<size_t>(constants::kCordonAfterFailedJobs) &&
        !machine.cordoned) {
        machine.cordoned = true;
        machine.cordon_reason = "tasks of different jobs fail on it";
        log::info("machine_cordoned", {{"machine", machine.name}, {"reason", machine.cordon_reason}});
    }
}

// A replica's end is never the end of its task, whatever its cause: it is started again, at once if it ran
// for a while. One that keeps ending at once is started less and less often. That is held against the
// machine, which the next start avoids, only as long as it has not happened on several.
void JobTable::replica_ended(Cluster& cluster, Machine& machine, Job& job, uint32_t task, ExitCause cause,
                             Seconds now) {
    if (cause == ExitCause::kStopped || job.cancelled) return;
    const Placement& p = job.live.at(task);
    Seconds ran = p.running_since ? now - *p.running_since : 0;
    log::info("replica_ended", {{"job", job.spec.id},
                                {"task", task},
                                {"machine", machine.name},
                                {"ran_s", ran},
                                {"cause", exit_cause_name(cause)}});
    if (ran >= constants::kReplicaStableRun_s) return;
    job.last_quick_exit_at = now;
    job.failed_on.insert(machine.name);
    if (!job.failing && job.failed_on.size() >= static_cast<size_t>(constants::kFailingAfterMachines)) {
        job.failing = true;
        log::info("job_marked_failing", {{"job", job.spec.id}, {"machines", job.failed_on.size()}});
        for (auto& [name, h] : cluster.machines) h->failed_jobs.erase(job.spec.id);
    }
    if (++job.quick_exits > constants::kReplicaImmediateRestarts) {
        // Replicas that end together count as one: a pause runs already.
        if (now >= job.not_before)
            job.backoff_s =
                std::clamp(job.backoff_s * 2, constants::kReplicaBackoff_s, constants::kReplicaBackoffMax_s);
        job.not_before = now + job.backoff_s;
    }
    if (!job.failing && cause == ExitCause::kError) count_failure(machine, job);
}

void JobTable::exited(Cluster& cluster, Machine& machine, Job& job, uint32_t task, const TaskStatus& t,
                      Seconds now) {
    log::debug("task_exited", {{"task", t.name.text()},
                               {"attempt", t.attempt},
                               {"machine", machine.name},
                               {"cause", exit_cause_name(t.cause)}});
    if (job.spec.service()) {
        replica_ended(cluster, machine, job, task, t.cause, now);
        release(job, task, now);
        return;
    }
    switch (t.cause) {
        case ExitCause::kDone:
            machine.failed_jobs.clear();
            if (const Placement& p = job.live.at(task);
                !job.spec.gang() && p.running_since && job.saw_all_starts && !job.interrupted.has(task)) {
                ++job.runs;
                job.runs_sum_s += now - *p.running_since;
            }
            complete(job, task, now);
            return;
        case ExitCause::kError:
            failed(cluster, machine, job, now);
            break;
        case ExitCause::kNoRoom:
        case ExitCause::kBusy:
        case ExitCause::kUnknownJob:
            log::info(
                "launch_refused",
                {{"task", t.name.text()}, {"machine", machine.name}, {"cause", exit_cause_name(t.cause)}});
            break;
        default:
            break;
    }
    if (job.spec.gang()) {
        // After its start a gang that lost a task ends; before, a replacement may complete it, but not
        // when it ran out of time.
        if (job.started || t.cause == ExitCause::kIncomplete || t.cause == ExitCause::kPeersGone)
            job.broken = true;
        if (t.cause == ExitCause::kError) job.broken = true;
    }
    release(job, task, now);
    if (job.spec.gang() && job.broken && !job.cancelled) {
        // The rest of a stopping gang may still be saving; the rest of a failed one has nothing to save.
        bool orderly = t.cause == ExitCause::kStopped;
        if (!orderly) stop_gang(job, 0);
    }
}

void JobTable::find_stragglers(Cluster& cluster, Seconds now) {
    for (auto& [name, h] : cluster.machines) {
        // Of one that is silent nothing is known; its tasks only seem to go on for long.
        if (h->cordoned || !h->schedulable) continue;
        size_t straggling = 0;
        for (const auto& r : on_machine(name)) {
            const Job& j = *r.job;
            if (j.spec.gang() || j.runs < constants::kStragglerMinFinishedTasks) continue;
            const Placement& p = *r.placement;
            Seconds ran = p.running_since ? now - *p.running_since : 0;
            if (ran > constants::kStragglerMinRun_s &&
                ran > constants::kStragglerFactor * j.runs_sum_s / j.runs)
                ++straggling;
        }
        if (straggling < constants::kCordonAfterStragglers) continue;
        h->cordoned = true;
        h->cordon_reason = "tasks take several times as long as others of their job elsewhere";
        log::info("machine_cordoned", {{"machine", name}, {"reason", h->cordon_reason}});
        auto tasks = on_machine(name);
        for (const auto& r : tasks)
            if (r.job->spec.checkpoint_s > 0 && !r.job->spec.service()) stop(*r.job, r.task, now);
    }
}

void JobTable::move_replicas(Cluster& cluster, Seconds now) {
    for (auto& [name, h] : cluster.machines) {
        if (!h->cordoned && !h->draining) continue;
        auto tasks = on_machine(name);
        for (const auto& [job, task, p] : tasks) {
            if (!job->spec.service() || job->cancelled || p->stopping) continue;
            uint32_t self = p->phase == TaskPhase::kRunning ? 1 : 0;
            if (job->running_replicas() - self + 1 == job->spec.tasks) stop(*job, task, now);
        }
    }
}

namespace {

// One attempt of a task in what a machine reported. Reports keep their order: it is mostly found at `hint`.
std::vector<MachineTask>::const_iterator find_attempt(const std::vector<MachineTask>& tasks, size_t hint,
                                                      const TaskName& name, uint64_t attempt) {
    auto matches = [&](const MachineTask& t) { return t.attempt == attempt && t.name == name; };
    if (hint < tasks.size() && matches(tasks[hint])) return tasks.begin() + static_cast<long>(hint);
    return std::find_if(tasks.begin(), tasks.end(), matches);
}

}  // namespace

// NOLINTNEXTLINE(readability-function-size,readability-function-cognitive-complexity): to be split by event
bool JobTable::apply(Cluster& cluster, Machine& machine, const WorkerHeartbeat& r, bool absence,
                     Seconds now) {
    bool news = false;
    const std::vector<MachineTask> before = std::exchange(machine.tasks, {});
    news = before.size() != r.tasks.size();
    machine.tasks.reserve(r.tasks.size());
    machine.counted = false;
    machine.incarnation = r.incarnation;
    machine.sequence = r.sequence;
    machine.addr = r.addr;
    machine.machine_type = r.machine_type;
    machine.zone = r.zone;
    machine.spot = r.spot;
    machine.phase = MachinePhase::kRunning;
    if (r.notice_s && !machine.spot_reclaim_at) {
        machine.spot_reclaim_at = now + *r.notice_s;
        log::info("spot_notice", {{"machine", machine.name}, {"remaining_s", *r.notice_s}});
    }
    std::vector<const Placement*> present;
    for (const auto& t : r.tasks) {
        MachineTask x;
        auto was = find_attempt(before, machine.tasks.size(), t.name, t.attempt);
        if (was != before.end()) x = *was;
        TaskPhase old = was != before.end() ? was->phase : TaskPhase::kFetching;
        bool known_exit = was != before.end() && old == TaskPhase::kExited;
        x.name = t.name;
        x.attempt = t.attempt;
        x.phase = t.phase;
        x.cause = t.cause;
        if (was == before.end() || old != t.phase) news = true;
        Job* job = find(t.name.job);
        if (job) {
            x.sized = true;
            x.amount = Resources::of(job->spec);
            x.team = job->spec.team;
            if (t.phase != TaskPhase::kFetching && t.cause != ExitCause::kNoRoom &&
                t.cause != ExitCause::kBusy && t.cause != ExitCause::kUnknownJob && !known_exit)
                machine.cache.use(job->spec.image, job->spec.image_gb);
            auto it = job->live.find(t.name.task);
            bool mine = it != job->live.end() && it->second.machine == machine.name &&
                        it->second.attempt == t.attempt;
            // A gang's replacement may come to a machine that still lists an exit of the same attempt.
            if (mine && known_exit && !it->second.seen) mine = false;
            if (mine) {
                Placement& p = it->second;
                present.push_back(&p);
                if (p.phase != t.phase || !p.seen)
                    log::debug("task_phase", {{"task", t.name.text()},
                                              {"attempt", t.attempt},
                                              {"machine", machine.name},
                                              {"phase", task_phase_name(t.phase)}});
                if (t.phase == TaskPhase::kRunning) {
                    if (!p.running_since) p.running_since = now;
                    if (job->spec.service() && p.bound_at >= job->last_quick_exit_at &&
                        now - *p.running_since >= constants::kReplicaStableRun_s) {
                        // What was started since then stays: what ended at once does so no longer.
                        job->failed_on.clear();
                        job->failing = false;
                        job->quick_exits = 0;
                        job->backoff_s = 0;
                    }
                    job->started = true;
                }
                if (!p.seen && p.sent > 0)
                    machine.unreachable_since.reset();  // it was launched: an answer arrived
                p.seen = true;
                p.phase = t.phase;
                if (t.phase == TaskPhase::kExited) {
                    exited(cluster, machine, *job, t.name.task, t, now);
                    x.exit_version = job->version;
                }
            } else if (t.phase == TaskPhase::kExited && t.cause == ExitCause::kDone && !job->spec.service() &&
                       !job->done.has(t.name.task) && t.name.task < job->spec.tasks &&
                       it == job->live.end()) {
                // A result of an attempt that was given up: the work is done all the same.
                complete(*job, t.name.task, now);
                x.exit_version = job->version;
            } else if (t.phase == TaskPhase::kExited && !known_exit) {
                x.exit_version = job->version;
            }
        }
        machine.tasks.push_back(std::move(x));
    }
    if (absence) {
        auto tasks = on_machine(machine.name);
        for (const auto& [job, task, placement] : tasks) {
            if (std::find(present.begin(), present.end(), placement) != present.end()) continue;
            auto it = job->live.find(task);
            if (it == job->live.end()) continue;
            Placement& p = it->second;
            bool committed = p.inherited || job->committed >= p.version;
            if (!committed) continue;
            // A newer report without the task: every launch sent before it is void, since the worker has
            // one report in flight and drops what answers an older one.
            if (p.sent_sequence != 0 && !r.newer_than(p.sent_incarnation, p.sent_sequence)) continue;
            // Answer after answer carried the launch and nothing came of it: bound to a machine that does
            // not hear us, the task would wait for ever.
            if (p.sent >= constants::kUnansweredLaunchLimit && !machine.unreachable_since) {
                machine.unreachable_since = now;
                log::info("machine_unreachable",
                          {{"machine", machine.name}, {"reason", "launches_without_effect"}});
            }
            bool lost = p.seen || (p.inherited && job->spec.gang()) || machine.unreachable_since;
            if (job->cancelled || p.stopping || lost) {
                news = true;
                if (job->spec.gang() && job->started) job->broken = true;
                release(*job, task, now);
                if (job->spec.gang() && job->broken && !job->cancelled) stop_gang(*job, 0);
            }
        }
    }
    return news;
}

const std::vector<PlacedTask>& JobTable::on_machine(const std::string& machine) const {
    static const std::vector<PlacedTask> none;
    auto it = by_machine_.find(machine);
    return it == by_machine_.end() ? none : it->second;
}

bool JobTable::awaits_commit(const Machine& machine) const {
    for (const auto& r : on_machine(machine.name)) {
        const Placement& p = *r.placement;
        if (!p.inherited && r.job->committed < p.version && !r.job->cancelled) return true;
    }
    return false;
}

bool JobTable::settled_on(const Machine& machine) const {
    auto running = [](const MachineTask& t) { return t.phase == TaskPhase::kRunning; };
    auto meant = [](const PlacedTask& r) { return r.placement->seen && !r.placement->stopping; };
    const auto& here = on_machine(machine.name);
    return here.size() == machine.tasks.size() &&
           std::all_of(machine.tasks.begin(), machine.tasks.end(), running) &&
           std::all_of(here.begin(), here.end(), meant);
}

std::vector<Command> JobTable::commands(Machine& machine, bool launches) {
    std::vector<Command> out;
    for (const auto& t : machine.tasks) {
        if (quarantined(t.name.job)) continue;
        Job* job = find(t.name.job);
        if (t.phase == TaskPhase::kExited) {
            // Forgotten only when the state service has what came of it.
            if (!job || job->committed >= t.exit_version)
                out.push_back({CommandKind::kForget, t.name, t.attempt, 0});
            continue;
        }
        auto it = job ? job->live.find(t.name.task) : decltype(job->live.find(0)){};
        bool mine = job && it != job->live.end() && it->second.machine == machine.name &&
                    it->second.attempt == t.attempt;
        if (!mine) {
            // Nothing accounts for it: its job is over, or its attempt was given up.
            out.push_back({CommandKind::kStop, t.name, t.attempt, 0});
        } else if (it->second.stopping && !(t.phase == TaskPhase::kSaving && it->second.grace_s > 0)) {
            out.push_back({CommandKind::kStop, t.name, t.attempt, it->second.grace_s});
        }
    }
    if (!launches) return out;
    for (const auto& [job, task, placement] : on_machine(machine.name)) {
        if (job->cancelled) continue;
        const std::string& id = job->spec.id;
        Placement& p = job->live.at(task);
        if (p.stopping || p.seen) continue;
        if (find_attempt(machine.tasks, 0, {id, task}, p.attempt) != machine.tasks.end()) continue;
        if (!p.inherited && job->committed < p.version) continue;
        if (job->spec.gang() && job->broken) continue;
        out.push_back({CommandKind::kLaunch, {id, task}, p.attempt, 0});
        if (p.sent_incarnation != machine.incarnation || p.sent_sequence != machine.sequence) ++p.sent;
        p.sent_incarnation = machine.incarnation;
        p.sent_sequence = machine.sequence;
    }
    return out;
}

}  // namespace hareshore

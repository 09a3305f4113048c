#include "jobs/job_table.h"

#include <algorithm>

#include "base/constants.h"
#include "jobs/task_lifecycle.h"

namespace hareshore {

namespace {

// The time of a record's cancellation on the monotonic clock. A record without it counts as cancelled now.
Seconds cancellation_time(const JobRecord& record, Seconds now, WallTime wall) {
    return now - std::max(0.0, wall - record.cancelled_wall.value_or(wall));
}

}  // namespace

Job* JobTable::find(const std::string& id) {
    auto it = jobs_.find(id);
    return it == jobs_.end() ? nullptr : it->second.get();
}

const Job* JobTable::find(const std::string& id) const {
    auto it = jobs_.find(id);
    return it == jobs_.end() ? nullptr : it->second.get();
}

Job& JobTable::load(const JobRecord& record, uint64_t mod_revision, Seconds now, WallTime wall) {
    unreadable_.erase(record.spec.id);
    auto& entry = jobs_[record.spec.id];
    if (entry) {
        // Apart from this leader only users' requests change a record, and only to cancel the job.
        uint64_t& known_revision = entry->persistence.mod_revision;
        known_revision = std::max(known_revision, mod_revision);
        if (record.cancelled) cancel(*entry, cancellation_time(record, now, wall), now);
        return *entry;
    }
    entry = std::make_unique<Job>();
    last_arrival_ = now;
    Job& job = *entry;
    job.spec = record.spec;
    job.accepted_wall = record.accepted_wall;
    job.accepted = now - std::max(0.0, wall - record.accepted_wall);
    bool never_bound = record.next_attempt <= 1;
    // A job that never started has waited since its acceptance, including the time under earlier leaders.
    job.wait.since = record.live.empty() && record.done.empty() && never_bound ? job.accepted : now;
    // Earlier versions recorded a replica as done when it exited.
    if (!job.spec.service()) job.done = record.done;
    job.next_attempt = record.next_attempt;
    job.run_times.saw_all_starts = never_bound;
    job.persistence.mod_revision = mod_revision;
    job.pending = Ranges::whole(record.spec.tasks);
    for (uint32_t task = 0; task < record.spec.tasks && !job.done.empty(); ++task)
        if (job.done.has(task)) job.pending.remove(task);
    load_placements(job, record, now);
    if (record.cancelled) cancel(job, cancellation_time(record, now, wall), now);
    return job;
}

void JobTable::load_placements(Job& job, const JobRecord& record, Seconds now) {
    for (const auto& [task, stored] : record.live) {
        if (job.done.has(task)) continue;
        Placement placement;
        placement.attempt = stored.attempt;
        placement.machine = stored.machine;
        placement.zone = stored.zone;
        placement.from_earlier_leader = true;
        placement.bound_at = now;
        placements_.add(stored.machine, {&job, task, &(job.live[task] = placement)});
        job.pending.remove(task);
        // A gang's tasks share an attempt. The record does not say whether it has started. Until a heartbeat
        // tells, no replacement task joins it and none of its tasks is stopped.
        job.gang_attempt.number = std::max(job.gang_attempt.number, stored.attempt);
        job.gang_attempt.start = GangStart::kUnknown;
    }
}

void JobTable::erase(const std::string& id) {
    Job* job = find(id);
    if (!job) return;
    for (const auto& [task, placement] : job->live) placements_.remove(placement.machine, *job, task);
    jobs_.erase(id);
}

void JobTable::clear() {
    jobs_.clear();
    write_queue_.clear();
    placements_.clear();
    unreadable_.clear();
}

void JobTable::set_unreadable(const std::string& id) {
    erase(id);
    unreadable_.insert(id);
}

void JobTable::mark_changed(Job& job) {
    ++job.persistence.version;
    queue_write(job);
}

void JobTable::queue_write(Job& job) {
    write_queue_.add(job.spec.id);
}

void JobTable::queue_all_unwritten() {
    for (auto& [id, job] : jobs_)
        if (job->persistence.unwritten()) queue_write(*job);
}

std::vector<Job*> JobTable::take_unwritten(size_t max_operations, size_t max_bytes, uint64_t record_format) {
    return write_queue_.take(jobs_, {max_operations, max_bytes}, record_format);
}

Placement& JobTable::bind(Job& job, uint32_t task, const Machine& machine, uint64_t attempt, Seconds now) {
    job.raise_record_sizes(machine);
    mark_changed(job);
    Placement placement;
    placement.attempt = attempt;
    placement.machine = machine.name;
    placement.zone = machine.zone;
    placement.job_version = job.persistence.version;
    placement.bound_at = now;
    job.pending.remove(task);
    Placement& placed = job.live[task] = placement;
    placements_.add(machine.name, {&job, task, &placed});
    return placed;
}

void JobTable::release(Job& job, uint32_t task, Seconds now) {
    auto entry = job.live.find(task);
    if (entry == job.live.end()) return;
    placements_.remove(entry->second.machine, job, task);
    job.live.erase(entry);
    if (!job.done.has(task)) {
        job.run_times.interrupted.add(task);
        if (job.pending.empty()) {
            job.wait.since = now;
            job.wait.start_unknown_since.reset();
        }
        job.pending.add(task);
    }
    mark_changed(job);
    if (job.live.empty()) job.gang_attempt.reset();
}

void JobTable::complete(Job& job, uint32_t task, Seconds now) {
    job.done.add(task);
    job.pending.remove(task);
    job.failures.clear();
    release(job, task, now);
    mark_changed(job);
    if (!job.spec.gang()) return;
    // A gang completes as a whole. Its other tasks still count on their machines until they exit.
    for (uint32_t other = 0; other < job.spec.tasks; ++other) {
        job.done.add(other);
        job.pending.remove(other);
    }
    while (!job.live.empty()) release(job, job.live.begin()->first, now);
}

void JobTable::cancel(Job& job, Seconds cancelled_at, Seconds now) {
    if (job.cancelled) {
        job.cancelled_at = std::min(job.cancelled_at, cancelled_at);
        return;
    }
    job.cancelled = true;
    job.cancelled_at = cancelled_at;
    for (auto& [task, placement] : job.live) begin_stop(placement, 0);
    // Release placements that cannot be on a machine: this leader bound them and never sent their launch.
    for (auto entry = job.live.begin(); entry != job.live.end();) {
        const auto& [task, placement] = *entry++;
        TaskState state = placed_state(job, placement);
        if (transition(state, TaskEvent::kCancel).moves_to(TaskState::kPending)) release(job, task, now);
    }
    mark_changed(job);
}

void JobTable::resend_stops_of_cancelled(Seconds cancelled_until) {
    for (const auto& [id, job] : jobs_) {
        if (!job->cancelled || job->cancelled_at > cancelled_until) continue;
        for (const auto& [task, placement] : job->live) machines_with_new_stops_.insert(placement.machine);
    }
}

void JobTable::begin_stop(Placement& placement, Seconds grace_s) {
    placement.stopping = true;
    placement.grace_s = grace_s;
    machines_with_new_stops_.insert(placement.machine);
}

void JobTable::stop_gang(Job& job, Seconds grace_s) {
    for (auto& [task, placement] : job.live)
        if (!placement.stopping || placement.grace_s > grace_s) begin_stop(placement, grace_s);
}

void JobTable::stop(Job& job, uint32_t task, StopMode mode) {
    Seconds grace_s = job.spec.save_s + constants::kCheckpointMargin_s;
    // A replica has no progress to save, and a grace period would delay its replacement.
    if (job.spec.service()) grace_s = 0;
    // Skipping the save loses half a checkpoint interval on average; saving keeps the resources occupied.
    if (mode == StopMode::kSkipSaveIfCheap && job.skips_saving()) grace_s = 0;
    if (job.spec.gang()) {
        stop_gang(job, grace_s);
        job.gang_attempt.broken = true;
        return;
    }
    auto entry = job.live.find(task);
    if (entry == job.live.end()) return;
    if (transition(placed_state(job, entry->second), TaskEvent::kStop).accepted())
        begin_stop(entry->second, grace_s);
}

void JobTable::on_machine_deleted(const std::string& machine, Seconds now) {
    auto tasks = placements_on(machine);
    for (const auto& placed : tasks) {
        Job& job = *placed.job;
        if (job.spec.gang() && job.gang_attempt.started()) job.gang_attempt.broken = true;
        release(job, placed.task, now);
    }
}

}  // namespace hareshore

#include "leader/scheduling_loop.h"

#include <algorithm>
#include <utility>

#include "base/constants.h"
#include "base/log.h"
#include "jobs/resource_accounting.h"

namespace hareshore {

namespace {

void update_minimum(std::optional<Resources>& smallest, const JobSpec& spec) {
    Resources amount = Resources::of(spec);
    smallest = smallest ? smallest->componentwise_min(amount) : amount;
}

bool delayed_for_better_machine(const Job& job) {
    return job.wait.reason == WaitReason::kDelayedForImage ||
           job.wait.reason == WaitReason::kDelayedForSpread;
}

}  // namespace

Task<void> SchedulingLoop::run() {
    Loop& loop = dependencies_.loop;
    while (true) {
        // A task that is delayed for a better machine may become due for another one without any request.
        Seconds deadline =
            task_delayed_ ? loop.now() + constants::kDelayedTaskSchedulingInterval_s : kNoTimeLimit;
        while (!dependencies_.pass_requests.pending())
            if (co_await loop.wait(dependencies_.pass_requests.requested(), deadline) == WakeReason::kTimeout)
                break;
        if (next_pass_at_ && loop.now() < *next_pass_at_) co_await loop.sleep(*next_pass_at_ - loop.now());
        dependencies_.pass_requests.clear();
        Seconds started_at = loop.now();
        run_pass();
        // Long passes, with a fleet or a queue that is large for the available CPU share, run less often:
        // workers lose their tasks if their heartbeats get no response, but lose nothing by waiting for work.
        Seconds duration = loop.now() - started_at;
        next_pass_at_ = started_at + std::max(constants::kSchedulingInterval_s,
                                              duration * (1 + constants::kSchedulingPauseFactor));
        longest_pass_ = std::max(longest_pass_, duration);
        ++passes_done_;
        pass_done_.notify();
    }
}

void SchedulingLoop::run_pass() {
    if (!dependencies_.lifecycle.loaded() || dependencies_.lifecycle.stopped()) return;
    recount_cluster();
    SchedulerInput input{dependencies_.config,
                         dependencies_.settings,
                         dependencies_.loop.now(),
                         {},
                         dependencies_.record_format.write_format()};
    for (auto& [name, machine] : dependencies_.cluster.machines)
        if (machine->heartbeat_awaits_response) input.requesting_machines.push_back(machine.get());
    for (const auto& binding : schedule(dependencies_.cluster, dependencies_.jobs, input))
        log::debug("task_bound", {{"job", binding.job->spec.id},
                                  {"task", binding.task},
                                  {"attempt", binding.job->live.at(binding.task).attempt},
                                  {"machine", binding.machine->name}});
    update_demand();
    dependencies_.command_sender.send_urgent_stops();
    dependencies_.record_writer.notify_changed();
}

void SchedulingLoop::update_demand() {
    smallest_replica_.reset();
    smallest_waiting_.reset();
    task_delayed_ = false;
    for (const auto& [id, job] : dependencies_.jobs.all()) {
        if (job->spec.service() && !job->cancelled) update_minimum(smallest_replica_, job->spec);
        if (!job->waiting()) continue;
        update_minimum(smallest_waiting_, job->spec);
        task_delayed_ = task_delayed_ || delayed_for_better_machine(*job);
    }
}

bool SchedulingLoop::could_fit_waiting_task(Machine& machine) {
    recount_machine(dependencies_.cluster, machine, dependencies_.jobs, dependencies_.loop.now(),
                    max_heartbeat_age());
    return machine.schedulable && smallest_waiting_ && machine.free.can_fit(*smallest_waiting_);
}

void SchedulingLoop::recount_cluster() {
    recount(dependencies_.cluster, dependencies_.jobs, dependencies_.loop.now(), max_heartbeat_age());
}

// The age beyond which a machine's last heartbeat does not prove free resources.
Seconds SchedulingLoop::max_heartbeat_age() const {
    return constants::kFreshHeartbeatIntervals * dependencies_.config.heartbeat_interval_s;
}

Seconds SchedulingLoop::get_and_reset_longest_pass() {
    return std::exchange(longest_pass_, 0);
}

}  // namespace hareshore

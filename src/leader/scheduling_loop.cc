#include "leader/scheduling_loop.h"

#include <algorithm>
#include <utility>

#include "base/constants.h"
#include "base/log.h"
#include "jobs/resource_accounting.h"

namespace hareshore {

namespace {

void lower_to(std::optional<Resources>& smallest, const JobSpec& spec) {
    Resources amount = Resources::of(spec);
    smallest = smallest ? smallest->componentwise_min(amount) : amount;
}

bool held_for_better_machine(const Job& job) {
    return job.wait.reason == WaitReason::kDelayedForImage ||
           job.wait.reason == WaitReason::kDelayedForSpread;
}

}  // namespace

Task<void> SchedulingLoop::run() {
    Loop& loop = parts_.loop;
    while (true) {
        // What is held for a better machine may go to another soon, without any heartbeat.
        Seconds until = task_held_ ? loop.now() + constants::kDelayedTaskSchedulingInterval_s : kNoTimeLimit;
        while (!parts_.pass_requests.pending())
            if (co_await loop.wait(parts_.pass_requests.requested(), until) == WakeReason::kTimeout) break;
        if (next_pass_at_ && loop.now() < *next_pass_at_) co_await loop.sleep(*next_pass_at_ - loop.now());
        parts_.pass_requests.clear();
        Seconds began = loop.now();
        run_pass();
        // With a fleet or a queue that is large for this machine's share of a core, passes come less often:
        // workers lose their tasks if they are not answered, and nothing if they wait for work.
        Seconds took = loop.now() - began;
        next_pass_at_ = began + std::max(constants::kSchedulingInterval_s,
                                         took * (1 + constants::kSchedulingPauseFactor));
        longest_pass_ = std::max(longest_pass_, took);
        ++passes_done_;
        pass_done_.notify();
    }
}

void SchedulingLoop::run_pass() {
    if (!parts_.lifecycle.loaded() || parts_.lifecycle.stopped()) return;
    recount_cluster();
    SchedulerInput input{
        parts_.config, parts_.settings, parts_.loop.now(), {}, parts_.record_format.in_force()};
    for (auto& [name, machine] : parts_.cluster.machines)
        if (machine->heartbeat_awaits_response) input.requesting_machines.push_back(machine.get());
    for (const auto& binding : schedule(parts_.cluster, parts_.jobs, input))
        log::debug("task_bound", {{"job", binding.job->spec.id},
                                  {"task", binding.task},
                                  {"attempt", binding.job->live.at(binding.task).attempt},
                                  {"machine", binding.machine->name}});
    update_demand();
    parts_.command_sender.send_urgent_stops();
    parts_.record_writer.notify_changed();
}

void SchedulingLoop::update_demand() {
    smallest_replica_.reset();
    smallest_waiting_.reset();
    task_held_ = false;
    for (const auto& [id, job] : parts_.jobs.all()) {
        if (job->spec.service() && !job->cancelled) lower_to(smallest_replica_, job->spec);
        if (!job->waiting()) continue;
        lower_to(smallest_waiting_, job->spec);
        task_held_ = task_held_ || held_for_better_machine(*job);
    }
}

bool SchedulingLoop::could_take_work(Machine& machine) {
    recount_machine(parts_.cluster, machine, parts_.jobs, parts_.loop.now(), silent_after());
    return machine.schedulable && smallest_waiting_ && machine.free.holds(*smallest_waiting_);
}

void SchedulingLoop::recount_cluster() {
    recount(parts_.cluster, parts_.jobs, parts_.loop.now(), silent_after());
}

// An older heartbeat shows no free room.
Seconds SchedulingLoop::silent_after() const {
    return constants::kFreshHeartbeatIntervals * parts_.config.heartbeat_interval_s;
}

Seconds SchedulingLoop::take_longest_pass() {
    return std::exchange(longest_pass_, 0);
}

}  // namespace hareshore

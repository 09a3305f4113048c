// Which tasks may be preempted for a job, in which order, and the cost of stopping them.
#pragma once
#include <vector>

#include "scheduler/pass_context.h"
#include "scheduler/queue.h"

namespace hareshore {

// A task that may be stopped to make room. The placement pointer is valid until the job table changes that
// placement.
struct Victim {
    Job* job = nullptr;
    uint32_t task = 0;
    const Placement* placement = nullptr;
    Machine* machine = nullptr;
};

// Whether tasks of the running job may be stopped to make room for the queued one.
[[nodiscard]] bool may_preempt(const PassContext& pass, const QueuedJob& queued, const Job& running);

// The cost of stopping a task in GPU seconds: the progress since its last checkpoint (or the time its start
// has taken so far) plus the time of its next start. For a task of a gang, the cost of stopping the whole
// gang.
[[nodiscard]] double preemption_loss(const Victim& victim, Seconds now);

// Sorts victims into the order in which they are stopped: arrays before gangs, tasks that can checkpoint
// before those that cannot, then lowest priority, jobs that are likely late anyway, and least loss.
void sort_by_loss(const PassContext& pass, std::vector<Victim>& victims);

// Stops the victims in the job table to make room for `beneficiary`.
void preempt(PassContext& pass, const Job& beneficiary, const std::vector<Victim>& victims);

// For a starved job that waits for its team's limit: stops tasks of the team's own lower-priority jobs if
// that frees enough of the limit for `tasks` of its tasks.
void preempt_for_team_limit(PassContext& pass, const QueuedJob& queued, uint32_t tasks);

}  // namespace hareshore

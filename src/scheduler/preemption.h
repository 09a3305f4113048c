// Which tasks may be preempted for a job, in which order, and what stopping them costs.
#pragma once
#include <vector>

#include "scheduler/pass_context.h"
#include "scheduler/queue.h"

namespace hareshore {

// A task that may be stopped to make room. The placement stays valid until the table changes it.
struct Victim {
    Job* job = nullptr;
    uint32_t task = 0;
    const Placement* placement = nullptr;
    Machine* machine = nullptr;
};

// Whether tasks of the running job may be stopped to make room for the queued one.
[[nodiscard]] bool may_preempt(const PassContext& pass, const QueuedJob& queued, const Job& running);

// What stopping a task costs, in GPU seconds: the progress since its last checkpoint, or what its start took
// so far, and its next start. Of a gang's task: what stopping the whole gang costs.
[[nodiscard]] double preemption_loss(const Victim& victim, Seconds now);

// Sorts by the order in which victims are stopped: arrays before gangs, what can save before what cannot, the
// lowest priority, jobs that are late anyway, and the least loss.
void sort_by_loss(const PassContext& pass, std::vector<Victim>& victims);

// Stops the victims in the table to make room for `beneficiary`.
void preempt(PassContext& pass, const Job& beneficiary, const std::vector<Victim>& victims);

// Stops tasks of the team's own jobs of lower priority for a starved job that waits for its team's limit, if
// that frees the limit for `tasks` of it.
void preempt_for_team_limit(PassContext& pass, const QueuedJob& queued, uint32_t tasks);

}  // namespace hareshore

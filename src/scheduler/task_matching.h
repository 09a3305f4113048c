// Matches single tasks to machines that request work: the pull part of Cache-Matched Pull, with delay
// scheduling for image locality and for the spread of a service's replicas.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "scheduler/pass_context.h"
#include "scheduler/queue.h"
#include "scheduler/team_quota.h"

namespace hareshore {

// Binds tasks to machines and sets the wait reasons of jobs that it skips.
class TaskMatcher {
  public:
    TaskMatcher(PassContext& pass, const TeamQuota& quota) : pass_(pass), quota_(quota) {}

    // Binds tasks of the jobs, which are in queue order, to the machine until no further task fits.
    void pull(const std::vector<QueuedJob>& jobs, Machine& machine);

  private:
    // Returns the job that provides the machine's next task: among the jobs of similar age at the head of
    // the queue, the one with the largest image that the machine has cached. Null if there is none.
    Job* select_job(const std::vector<QueuedJob>& jobs, Machine& machine);
    // Why the job gets no task on the machine although one could start; std::nullopt if it may
    // get one.
    std::optional<WaitReason> reason_to_wait(const Job& job, const Machine& machine);

    // Whether a task should wait for a machine that has its image cached instead of fetching it on this
    // one.
    bool should_wait_for_image(const Job& job, const Machine& requesting);
    // The number of other machines that have the job's image cached and room for a task, counted up to
    // `max_count`.
    uint32_t count_machines_with_image(const Job& job, const Machine& requesting, uint32_t max_count);
    // Whether another machine with room would spread the replicas better than this one.
    bool should_wait_for_spread(const Job& job, const Machine& requesting);

    PassContext& pass_;
    const TeamQuota& quota_;
    std::map<std::string, std::vector<Machine*>>
        machines_with_image_;  // schedulable machines by cached image, filled on demand
};

}  // namespace hareshore

// Matches single tasks to machines that request work: the pull of Cache-Matched Pull, with delay scheduling
// for image locality and for the spread of a service's replicas.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "scheduler/pass_context.h"
#include "scheduler/queue.h"
#include "scheduler/team_quota.h"

namespace hareshore {

// Binds tasks in the pass and sets the wait reasons of jobs that it passes over.
class TaskMatcher {
  public:
    TaskMatcher(PassContext& pass, const TeamQuota& quota) : pass_(pass), quota_(quota) {}

    // Binds tasks of the jobs, which are in queue order, to the machine until none fits on it.
    void pull(const std::vector<QueuedJob>& jobs, Machine& machine);

  private:
    // The job that the machine gets its next task from: of those of similar age at the head of the queue, the
    // one with the largest image that the machine holds. Null if there is none.
    Job* pick(const std::vector<QueuedJob>& jobs, Machine& machine);
    // Why the job gets no task on the machine although it has one to start; nothing if it may get one.
    std::optional<WaitReason> reason_to_wait(const Job& job, const Machine& machine);

    // Whether a task should rather wait for a machine that holds its image than fetch it on this one.
    bool should_wait_for_image(const Job& job, const Machine& requesting);
    // The number of other machines that hold the job's image and have room for a task, counted up to `most`.
    uint32_t count_image_holders(const Job& job, const Machine& requesting, uint32_t most);
    // Whether another machine with room would be better for a replica than this one.
    bool should_wait_for_spread(const Job& job, const Machine& requesting);

    PassContext& pass_;
    const TeamQuota& quota_;
    std::map<std::string, std::vector<Machine*>>
        image_holders_;  // schedulable machines by image, found on demand
};

}  // namespace hareshore

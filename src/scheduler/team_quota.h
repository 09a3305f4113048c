// The teams' limits within a scheduling pass, and what is reserved of them for gangs that wait.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "scheduler/pass_context.h"
#include "scheduler/queue.h"

namespace hareshore {

// Reads the teams' usage from the pass's cluster; changes nothing but its own reservations.
class TeamQuota {
  public:
    explicit TeamQuota(const PassContext& pass) : pass_(pass) {}

    // Whether the team's limit, less what is reserved before this job, allows so many more of its tasks.
    [[nodiscard]] bool within_limit(const JobSpec& spec, uint32_t tasks) const {
        return pass_.cluster.within_limit(pass_.input.config, spec, tasks,
                                          reservations_.empty() ? TeamUsage{} : reserved_before(spec));
    }

    // The most of `tasks` that within_limit() allows.
    [[nodiscard]] uint32_t most_within_limit(const JobSpec& spec, uint32_t tasks) const;

    // Reserves the limit that a gang waits for. What comes free of it would else go to the team's small jobs
    // one by one, and the gang would not start while they keep coming. It is reserved from the team's
    // work of lower priority; once the gang starves, from all. The reservation stays while machines are
    // lacking: given to the team's other work, the limit would be lacking when the machines come free. Until
    // `room_at`, when there is room for all of the gang, it may be used by backfill. To be called after all
    // else that is done for the gang in the pass, whose own tasks would else be counted twice.
    void reserve(const QueuedJob& gang, std::optional<Seconds> room_at);

  private:
    struct Reservation {
        PriorityClass priority = PriorityClass::kIdle;
        bool starved = false;
        TeamUsage usage;
        Seconds backfill_until = 0;  // tasks that are expected to end before may use it
    };

    // What is reserved of the team's limit for others and not open to this job.
    [[nodiscard]] TeamUsage reserved_before(const JobSpec& spec) const;

    const PassContext& pass_;
    std::map<std::string, std::vector<Reservation>> reservations_;  // by team
};

}  // namespace hareshore

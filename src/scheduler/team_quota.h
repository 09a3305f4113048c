// The teams' limits within a scheduling pass, and the parts of them reserved for waiting gangs.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "scheduler/pass_context.h"
#include "scheduler/queue.h"

namespace hareshore {

// Reads the teams' usage from the cluster of the pass; modifies only its own reservations.
class TeamQuota {
  public:
    explicit TeamQuota(const PassContext& pass) : pass_(pass) {}

    // Whether the team's limit, less the reservations that take precedence over this job, allows that many
    // more of its tasks.
    [[nodiscard]] bool within_limit(const JobSpec& spec, uint32_t tasks) const {
        return pass_.cluster.within_limit(pass_.input.config, spec, tasks,
                                          reservations_.empty() ? TeamUsage{} : reserved_before(spec));
    }

    // The largest number of tasks, up to `tasks`, that within_limit() allows.
    [[nodiscard]] uint32_t max_tasks_within_limit(const JobSpec& spec, uint32_t tasks) const;

    // Reserves the part of the team's limit that a gang waits for. Otherwise the team's small jobs would
    // take each freed part of the limit, and the gang would not start while such jobs keep arriving. The
    // reservation applies to the team's lower-priority work, and to all of its work once the gang is
    // starved. It is kept while the gang lacks machines: if other work took the limit in that time, the gang
    // would lack the limit once machines become free. Until `expected_start`, when the whole gang is expected
    // to have room, the reserved part may be used for backfill. Nothing is reserved for a gang that cannot
    // get it: while services of the team hold too much of the limit, or when the reservation has expired.
    // Must be called after everything else is done for the gang in the pass; otherwise the gang's own tasks
    // would be counted twice.
    void reserve(const QueuedJob& gang, std::optional<Seconds> expected_start);

  private:
    struct Reservation {
        PriorityClass priority = PriorityClass::kIdle;
        bool starved = false;
        TeamUsage usage;
        Seconds backfill_until = 0;  // tasks expected to end before this may use it
    };

    // Whether the gang fits within the team's limit once all work that ends by itself has ended.
    [[nodiscard]] bool can_become_free(const JobSpec& gang);
    // The part of the team's limit that its services do not give back for the gang: what their replicas use
    // and, of a running service of at least the gang's priority, also what its missing replicas need.
    [[nodiscard]] TeamUsage held_by_services(const JobSpec& gang);

    // The part of the team's limit that is reserved for others and unavailable to this job.
    [[nodiscard]] TeamUsage reserved_before(const JobSpec& spec) const;

    const PassContext& pass_;
    std::map<std::string, std::vector<Reservation>> reservations_;  // by team
    // The services that have replicas on machines, by team; filled on demand.
    std::optional<std::map<std::string, std::vector<const Job*>>> running_services_;
};

}  // namespace hareshore

// Places gangs of several tasks: either all tasks of a gang or none.
#pragma once
#include <compare>
#include <map>
#include <string>
#include <vector>

#include "scheduler/pass_context.h"
#include "scheduler/queue.h"
#include "scheduler/team_quota.h"

namespace hareshore {

// Binds gangs to machines and sets the wait reason of each gang that cannot be placed.
class GangPlacer {
  public:
    GangPlacer(PassContext& pass, const TeamQuota& quota) : pass_(pass), quota_(quota) {}

    // Binds all pending tasks of the gang if there is room for all of them. If a starved gang exceeds its
    // team's limit, preempts the team's own lower-priority work.
    void place(const QueuedJob& queued);

  private:
    // The machines selected for the tasks of a gang.
    struct GangSlots {
        std::vector<Machine*> machines;  // one entry per task; empty if there is not room for all
        uint32_t with_image = 0;         // how many of them have the gang's image cached
    };
    // The size of a task and the zone it is placed in. Gangs with the same task size share one upper bound
    // on the free slots.
    struct SizeInZone {
        double cpus = 0;
        double gpus = 0;
        double memory_gb = 0;
        double list_bytes = 0;
        std::string zone;  // empty: all zones
        // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted <=>
        auto operator<=>(const SizeInZone&) const = default;
    };

    // Returns the slots in the zone (or across all zones) where most tasks find their image cached.
    [[nodiscard]] GangSlots find_best_slots(const Job& job, uint32_t tasks);
    // Finds slots in one zone, or in all zones if the name is empty. Machines that have the image cached
    // come first.
    [[nodiscard]] GangSlots find_slots(const Job& job, const std::string& zone, uint32_t tasks);
    // Returns false if the free resources cannot fit that many tasks, ignoring placement constraints.
    [[nodiscard]] bool may_have_room(const JobSpec& spec, const std::string& zone, uint32_t tasks);

    PassContext& pass_;
    const TeamQuota& quota_;
    // Upper bounds on the free slots. Free resources only shrink during a pass, so a bound that was too
    // small for one gang is also too small for the next one of the same size.
    std::map<SizeInZone, uint32_t> max_slots_;
};

}  // namespace hareshore

// Places gangs of several tasks: all of them at once, or none.
#pragma once
#include <compare>
#include <map>
#include <string>
#include <vector>

#include "scheduler/pass_context.h"
#include "scheduler/queue.h"
#include "scheduler/team_quota.h"

namespace hareshore {

// Binds gangs in the pass and sets the wait reasons of those that it cannot place.
class GangPlacer {
  public:
    GangPlacer(PassContext& pass, const TeamQuota& quota) : pass_(pass), quota_(quota) {}

    // Binds all waiting tasks of the gang if there is room for them. One that starves for want of its team's
    // limit preempts the team's own lower work.
    void place(const QueuedJob& queued);

  private:
    // Machines for the tasks of a gang.
    struct GangSlots {
        std::vector<Machine*> machines;  // one entry a task; empty if there is not room for all
        uint32_t with_image = 0;         // of them, those that hold the gang's image
    };
    // The size of a task and where it may run; the room for it bounds that for any gang of this size.
    struct SizeInZone {
        double cpus = 0;
        double gpus = 0;
        double memory_gb = 0;
        std::string zone;  // empty: all zones
        // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted <=>
        auto operator<=>(const SizeInZone&) const = default;
    };

    // The zone, or all zones, in which most of the tasks find their image.
    [[nodiscard]] GangSlots find_best_slots(const Job& job, uint32_t tasks);
    // Slots in one zone, or in all if its name is empty; machines that hold the image first.
    [[nodiscard]] GangSlots find_slots(const Job& job, const std::string& zone, uint32_t tasks);
    // False if free room cannot hold so many tasks, whatever their constraints.
    [[nodiscard]] bool may_have_room(const JobSpec& spec, const std::string& zone, uint32_t tasks);

    PassContext& pass_;
    const TeamQuota& quota_;
    // Upper bounds of the free slots. In a pass free room only shrinks: what one gang lacked, the next one of
    // the same size lacks, too.
    std::map<SizeInZone, uint32_t> most_slots_;
};

}  // namespace hareshore

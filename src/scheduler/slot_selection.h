// Selects the slots for a waiting job in one zone or across all zones.
#pragma once
#include <compare>
#include <string>
#include <vector>

#include "scheduler/machine_capacity.h"

namespace hareshore {

// The machines selected for the pending tasks of a job, and the victims to stop on them.
struct SlotSelection {
    std::vector<Machine*> machines;  // one entry per slot
    std::vector<Victim> victims;
    bool complete = false;       // all tasks have a slot once the victims are stopped
    bool start_expected = true;  // if incomplete: whether running tasks are expected to free all slots
    Seconds available_at = 0;    // if incomplete: when all tasks have a slot without preemption

    // Complete selections come first, ordered by the number of victims; incomplete ones follow, ordered by
    // the time at which all slots are available.
    [[nodiscard]] bool better_than(const SlotSelection& other) const { return rank() < other.rank(); }

  private:
    struct Rank {
        bool incomplete;
        size_t victims;
        Seconds available_at;
        // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted <=>
        auto operator<=>(const Rank&) const = default;
    };
    [[nodiscard]] Rank rank() const { return {!complete, complete ? victims.size() : 0, available_at}; }
};

// Selects slots for `tasks` tasks of the job in the zone, or in all zones if the name is empty, no more in
// any zone than the job's constraints allow: free slots first, then preemptible slots on machines that have
// the image cached, then those whose preemption loses least. If preemption does not free enough slots for all
// tasks, selects the slots that are expected to become free earliest instead of the preemptible ones.
[[nodiscard]] SlotSelection select_slots(const PassContext& pass, const std::string& zone, const Job& job,
                                         uint32_t tasks, const std::vector<MachineCapacity>& capacities);

}  // namespace hareshore

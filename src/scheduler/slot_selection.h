// Where the slots of a job that waits could come from in one zone.
#pragma once
#include <compare>
#include <string>
#include <vector>

#include "scheduler/machine_capacity.h"

namespace hareshore {

// The machines chosen for the waiting tasks of a job, and what is to be stopped on them.
struct SlotSelection {
    std::vector<Machine*> machines;  // one entry a slot
    std::vector<Victim> victims;
    bool complete = false;     // with the victims stopped all tasks have a slot
    Seconds available_at = 0;  // if it is not complete: when all tasks have one without preemption

    // Complete ones with the fewest victims first, then those that are available soonest.
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

// Selects slots for `tasks` tasks of the job in the zone, or in all zones if its name is empty: free slots,
// then slots to be preempted on machines that hold the image, then those whose preemption loses least. If
// that is not enough for all, the slots that come free first by themselves in place of the preempted ones.
[[nodiscard]] SlotSelection select_slots(const PassContext& pass, const std::string& zone, const Job& job,
                                         uint32_t tasks, const std::vector<MachineCapacity>& capacities);

}  // namespace hareshore

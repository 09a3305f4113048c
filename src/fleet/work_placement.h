// Places waiting tasks on the planned machines (bin packing) and requests machines for tasks that have no
// room.
#pragma once
#include <vector>

#include "fleet/fleet_capacity.h"
#include "scheduler/queue.h"
#include "scheduler/zone_rule.h"

namespace hareshore {

// Subtracts placed tasks from the free resources of the planned machines and adds machine requests.
class WorkPlacement {
  public:
    WorkPlacement(const PlanningContext& context, FleetCapacity& capacity);

    // Places the pending tasks of all jobs, which are in queue order. A job's tasks are placed as a group:
    // a job costs one step per machine, however many of its tasks are pending.
    void place_all(const std::vector<QueuedJob>& queue);

  private:
    void place(const Job& job);
    // How many pending tasks of the job may start, given its team's limit and, for a gang, its state.
    [[nodiscard]] uint32_t startable_tasks(const Job& job) const;
    void place_across_zones(const Job& job, uint32_t tasks);
    // Places all tasks in one zone: the one where the fewest lack room.
    void place_in_one_zone(const Job& job, uint32_t tasks);
    // An upper estimate of how many of the tasks have room in the zone; it may exceed `tasks`, since the
    // count is limited per machine only.
    [[nodiscard]] uint32_t room_in_zone(const JobSpec& spec, const std::string& zone, uint32_t tasks) const;
    // Kinds of machines that the job may run on and that the cloud may have, lowest price per task first.
    [[nodiscard]] std::vector<MachineKind> kinds_for(const JobSpec& spec) const;
    // Requests one machine; null if that is not possible. The pointer is valid until the next request.
    PlannedMachine* request(const MachineKind& kind);

    const PlanningContext& context_;
    FleetCapacity& capacity_;
    std::vector<size_t> machines_with_room_;  // indexes of machines with room for some waiting task
    Resources smallest_request_;              // of all waiting jobs
};

}  // namespace hareshore

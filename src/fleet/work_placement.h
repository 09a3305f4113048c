// Places waiting tasks on the planned machines (bin packing) and requests machines for those that have no
// room.
#pragma once
#include <vector>

#include "fleet/fleet_capacity.h"
#include "scheduler/queue.h"
#include "scheduler/zone_rule.h"

namespace hareshore {

// Changes the free resources of the planned machines and adds requests to them.
class WorkPlacement {
  public:
    WorkPlacement(const PlanningContext& context, FleetCapacity& capacity);

    // Places the waiting tasks of all jobs, which are in queue order. The tasks of a job are counted as a
    // class: a job costs one step a machine, however many of its tasks wait.
    void place_all(const std::vector<QueuedJob>& queue);

  private:
    void place(const Job& job);
    // How many waiting tasks of the job may start, by its team's limit and the state of a gang.
    [[nodiscard]] uint32_t startable_tasks(const Job& job) const;
    void place_across_zones(const Job& job, uint32_t tasks);
    // All tasks in one zone: the one where the fewest lack room.
    void place_in_one_zone(const Job& job, uint32_t tasks);
    // How many of the tasks have room in the zone, at most; machines may be counted twice beyond that.
    [[nodiscard]] uint32_t room_in_zone(const JobSpec& spec, const std::string& zone, uint32_t tasks) const;
    // Kinds of machines that the job may run on and the cloud may have, cheapest for its tasks first.
    [[nodiscard]] std::vector<MachineKind> kinds_for(const JobSpec& spec) const;
    // Requests one machine; null if that is not possible. Valid until the next request.
    PlannedMachine* request(const MachineKind& kind);

    const PlanningContext& context_;
    FleetCapacity& capacity_;
    std::vector<size_t> open_;    // indexes of machines with room for something that waits
    Resources smallest_request_;  // of all that waits
};

}  // namespace hareshore

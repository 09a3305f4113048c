// Detects unhealthy machines, and zones that are partitioned from this controller.
#pragma once
#include <optional>
#include <set>

#include "fleet/planning_context.h"

namespace hareshore {

// Evaluates the machines of a plan: call find_partitioned_zones() first, then scale_in_unhealthy(), then
// the queries.
class MachineHealth {
  public:
    explicit MachineHealth(PlanningContext& context) : context_(context) {}

    // Adds to the plan the zones that are likely partitioned: most of their machines are silent at the same
    // time. Machines there get a longer timeout, none are requested there, and they provide no capacity.
    // Their tasks have ended at lease expiry. If the machines were deleted, they would be missing when the
    // partition ends, and their replacements would be unreachable as well.
    void find_partitioned_zones();

    // Adds to the plan the machines to delete because of their state. A machine that has tasks is deleted
    // only when nothing on it can be saved any more; the deletion also proves that its tasks have ended.
    // Must be called after find_partitioned_zones().
    void scale_in_unhealthy();

    // Whether waiting work can be placed on the machine. Must be called after scale_in_unhealthy().
    [[nodiscard]] bool provides_capacity(const Machine& machine) const;

  private:
    [[nodiscard]] std::optional<ScaleInReason> reason_to_delete(const Machine& machine) const;
    // The reason to delete a machine whose heartbeats are missing. The machine is kept if a heartbeat
    // arrives in time.
    [[nodiscard]] std::optional<ScaleInReason> reason_to_delete_silent(const Machine& machine) const;

    [[nodiscard]] bool partitioned(const Machine& machine) const {
        return context_.plan.partitioned_zones.contains(machine.zone);
    }
    // The time since the machine's last heartbeat, counting only time in which this controller could have
    // received one.
    [[nodiscard]] Seconds time_since_heartbeat(const Machine& machine) const;
    // Whether a heartbeat of the machine is overdue.
    [[nodiscard]] bool silent(const Machine& machine) const;
    // The timeout after which a silent worker is unreachable rather than switching to another controller.
    [[nodiscard]] Seconds unreachable_after() const;

    PlanningContext& context_;
    std::set<const Machine*> scaled_in_;  // added to the plan by scale_in_unhealthy()
};

}  // namespace hareshore

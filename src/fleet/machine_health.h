// Machines that are of no use, and zones that are cut off from this controller.
#pragma once
#include <optional>
#include <set>

#include "fleet/planning_context.h"

namespace hareshore {

// Judges the machines of a plan: find_partitioned_zones() first, then scale_in_unhealthy(), then the queries.
class MachineHealth {
  public:
    explicit MachineHealth(PlanningContext& context) : context_(context) {}

    // Adds the zones to the plan that are likely partitioned: most of their machines are silent at once.
    // Machines there are given longer, nothing is requested there, and they provide no capacity. What runs
    // there has ended with its leases; deleted, they would be missing when the partition ends, and new ones
    // would not be heard either.
    void find_partitioned_zones();

    // Adds the machines to the plan that are to be deleted for their state. A machine is deleted with tasks
    // on it only when nothing can be saved there any more: the deletion is also what proves that its tasks
    // are gone. To be called after find_partitioned_zones().
    void scale_in_unhealthy();

    // Whether waiting work can be placed on the machine. To be called after scale_in_unhealthy().
    [[nodiscard]] bool provides_capacity(const Machine& machine) const;

  private:
    [[nodiscard]] std::optional<ScaleInReason> reason_to_delete(const Machine& machine) const;
    // The reason to delete a machine that is not heard of; such a machine is kept if it reports in time.
    [[nodiscard]] std::optional<ScaleInReason> silence_reason(const Machine& machine) const;

    [[nodiscard]] bool partitioned(const Machine& machine) const {
        return context_.plan.partitioned_zones.contains(machine.zone);
    }
    // For how long the machine could have been heard and was not.
    [[nodiscard]] Seconds silence(const Machine& machine) const;
    // Whether a heartbeat of the machine is overdue.
    [[nodiscard]] bool silent(const Machine& machine) const;
    // How long the silence of a worker takes that is not only on its way to another controller.
    [[nodiscard]] Seconds unreachable_after() const;

    PlanningContext& context_;
    std::set<const Machine*> scaled_in_;  // by scale_in_unhealthy()
};

}  // namespace hareshore

// Consolidation: moves the work of little used machines together, so that machines can be deleted.
#pragma once
#include "fleet/fleet_capacity.h"

namespace hareshore {

// In a calm, when nothing waits and no machine is draining, adds one machine to the plan whose tasks have
// room on others. The protocol names the return of a machine as a reason to stop a task; progress is saved.
void consolidate(PlanningContext& context, const FleetCapacity& capacity);

}  // namespace hareshore

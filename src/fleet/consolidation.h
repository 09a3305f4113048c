// Consolidation: moves the tasks of underused machines to other machines, so that the former can be
// deleted.
#pragma once
#include "fleet/fleet_capacity.h"

namespace hareshore {

// While no jobs have arrived recently, no job waits and no machine is draining: adds one machine to the
// plan whose tasks have room on others. The protocol allows stopping a task in order to return its machine;
// the task's progress is saved.
void consolidate(PlanningContext& context, const FleetCapacity& capacity);

}  // namespace hareshore

// The idle machines of each zone: enough of them in reserve, no more than that for long.
#pragma once
#include "fleet/fleet_capacity.h"

namespace hareshore {

// Requests machines for zones that have fewer machines, or fewer idle ones, than the settings ask for.
void request_reserve(const PlanningContext& context, FleetCapacity& capacity);

// Adds machines to the plan for deletion that have been idle for long and that nothing waits for.
void scale_in_idle(PlanningContext& context, const FleetCapacity& capacity);

}  // namespace hareshore

// The idle machines of each zone: keeps the configured reserve and deletes the surplus.
#pragma once
#include "fleet/fleet_capacity.h"

namespace hareshore {

// Requests machines for zones that have fewer machines, or fewer idle ones, than the settings require.
void request_minimum_machines(const PlanningContext& context, FleetCapacity& capacity);

// Adds machines to the plan for deletion that have been idle for long and that no waiting work needs.
void scale_in_idle(PlanningContext& context, const FleetCapacity& capacity);

}  // namespace hareshore

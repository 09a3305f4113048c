// Preemption for replicas of a service.
#pragma once
#include "scheduler/machine_capacity.h"
#include "scheduler/team_quota.h"

namespace hareshore {

// Preempts lower-priority work for replicas that have no room on any machine, as far as the service's zone
// constraints and its team's limit allow them to start.
void preempt_for_replicas(PassContext& pass, const TeamQuota& quota, CapacityCache& capacities,
                          const QueuedJob& service);

}  // namespace hareshore

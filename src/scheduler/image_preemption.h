// Preemption for image locality.
#pragma once
#include "scheduler/machine_capacity.h"
#include "scheduler/team_quota.h"

namespace hareshore {

// For a gang whose image takes long to fetch: if the machines that have the image cached run preemptible
// work that loses little, preempts that work at once and reserves the freed room, so that the gang need not
// fetch the image elsewhere. Tried once per waiting period of a job.
void preempt_for_image(PassContext& pass, const TeamQuota& quota, CapacityCache& capacities,
                       const QueuedJob& gang);

}  // namespace hareshore

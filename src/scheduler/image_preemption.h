// Preemption for image locality.
#pragma once
#include "scheduler/machine_capacity.h"
#include "scheduler/team_quota.h"

namespace hareshore {

// For a gang whose image takes long to fetch: if the machines that hold the image are busy with preemptible
// work that loses little, stops that work at once and reserves its room, rather than to let the gang fetch
// the image elsewhere. Tried once for each wait of a job.
void preempt_for_image(PassContext& pass, const TeamQuota& quota, CapacityCache& capacities,
                       const QueuedJob& gang);

}  // namespace hareshore

// Room for jobs that wait: preemption, and reservations that keep the room a gang waits for.
#pragma once
#include <optional>
#include <vector>

#include "scheduler/machine_capacity.h"
#include "scheduler/team_quota.h"

namespace hareshore {

// Reserves one slot of the job on each of the machines (one entry a slot). Until `until` the reserved room
// may be used by backfill.
void reserve(const Job& job, const std::vector<Machine*>& machines, Seconds until);

// Makes room for a waiting job: preempts where that is allowed and, for a gang, reserves the room it waits
// for. Returns when all tasks of a gang are expected to have room; nothing if none was reserved.
std::optional<Seconds> make_room(PassContext& pass, const TeamQuota& quota, CapacityCache& capacities,
                                 const QueuedJob& queued);

}  // namespace hareshore

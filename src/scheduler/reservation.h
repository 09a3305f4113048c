// Makes room for waiting jobs by preemption, and reserves room for waiting gangs.
#pragma once
#include <optional>
#include <vector>

#include "scheduler/machine_capacity.h"
#include "scheduler/team_quota.h"

namespace hareshore {

// Reserves one slot of the job on each of the machines (one entry per slot). Until `until`, the reserved
// room may be used for backfill.
void reserve(const Job& job, const std::vector<Machine*>& machines, Seconds until);

// Makes room for a waiting job: preempts where that is allowed and, for a gang, reserves the room it waits
// for. Returns the time at which all tasks of the gang are expected to have room; std::nullopt if no
// room was reserved.
std::optional<Seconds> make_room(PassContext& pass, const TeamQuota& quota, CapacityCache& capacities,
                                 const QueuedJob& queued);

}  // namespace hareshore

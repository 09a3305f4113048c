// Machines that may still run a task of a cancelled job. No I/O; time is a parameter.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/cluster.h"
#include "config/config.h"
#include "jobs/job_table.h"
#include "model/task_name.h"

namespace hareshore {

// What has to happen before a machine with a task of a cancelled job is deleted.
enum class DeletionCondition : uint8_t {
    kNone,         // nothing: the machine is due
    kLeaseExpiry,  // every lease that may have been granted to the machine expires
    kHeartbeats,   // its worker has time for a heartbeat: this leader is new or its process was stalled
    kCloud,        // the cloud confirms the deletion, which has begun
};

[[nodiscard]] std::string_view deletion_condition_text(DeletionCondition condition);

struct MachineWithCancelledTask {
    std::string machine;
    TaskName task;              // one of the tasks of cancelled jobs on it
    Seconds cancelled_for = 0;  // since the cancellation was recorded
    DeletionCondition waits_for = DeletionCondition::kNone;
};

// Returns the machines that still have a task of a cancelled job, sorted by name. They are due for deletion
// after every lease that may have been granted to them has expired. By then a task that could be stopped has
// ended, and a worker that reaches no controller has stopped its tasks at lease expiry. A task that is still
// recorded may be running on a hung machine, and only deleting the machine ends it. This applies to machines
// in partitioned zones as well, and is early enough for the cloud to be slow or unavailable for a while
// within cancel_s.
//
// All times count from the recorded cancellation, not from the beginning of this leader's term, so that a
// machine is deleted in time however often the leader changes. `receiving_since`: since when heartbeats could
// be received.
[[nodiscard]] std::vector<MachineWithCancelledTask> machines_with_cancelled_tasks(
    const Cluster& cluster, const JobTable& jobs, const Config& config, Seconds now, Seconds receiving_since);

// The age that a leader assumes of a cancellation that it inherits without its time: the highest at which it
// still collects heartbeats for kNewLeaderScalingDelay_s, as before any other scaling decision.
[[nodiscard]] Seconds assumed_cancellation_age(const Config& config);

}  // namespace hareshore

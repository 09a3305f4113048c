// The scaling plan of the fleet: which machines to request from the cloud, to delete and to drain, within
// the settings for the minimum and maximum number of machines and of idle machines per zone. No I/O; time
// is a parameter.
#pragma once
#include <string_view>

#include "cluster/cluster.h"
#include "config/config.h"
#include "fleet/cancelled_tasks.h"
#include "jobs/job_table.h"

namespace hareshore {

// A kind of machine that can be requested from the cloud.
struct MachineKind {
    std::string machine_type;
    std::string zone;
    bool spot = false;
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted <=>
    auto operator<=>(const MachineKind&) const = default;
};

// A request for machines of one kind.
struct ScaleOutRequest {
    MachineKind kind;
    int number = 0;
};

// Why a machine is deleted.
enum class ScaleInReason : uint8_t {
    kFailed,             // the cloud lists it as failed
    kUnreachable,        // it sent heartbeats before and no longer does
    kNeverReported,      // the cloud lists it as running, but it never sent a heartbeat
    kBootTimeout,        // it did not finish booting in time
    kUnlisted,           // a job's record names it, but the cloud does not list it
    kAnswersLost,        // it sends heartbeats, but does not receive the responses
    kDrained,            // its tasks were moved to other machines
    kCordoned,           // it is cordoned and its last task has ended
    kIdle,               // no task runs on it and no waiting work needs it
    kHoldsCancelledTask  // it may be hung and still run a task of a cancelled job
};

// The reason as it appears in the log.
std::string_view scale_in_reason_text(ScaleInReason reason);

// A machine to delete.
struct ScaleInDecision {
    std::string machine;
    ScaleInReason reason = ScaleInReason::kIdle;
    bool only_if_silent = false;  // keep the machine if a heartbeat arrives before the deletion
};

// The changes to make to the fleet.
struct ScalingPlan {
    std::vector<ScaleOutRequest> scale_out;
    std::vector<ScaleInDecision> scale_in;
    std::vector<std::string> drain;           // machines to be emptied, so that they can be deleted
    std::set<std::string> partitioned_zones;  // zones likely partitioned from this controller

    [[nodiscard]] bool scales_in(const std::string& machine) const;  // whether the plan deletes the machine
};

// The input of a scaling plan.
struct ScalingInput {
    const Config& config;
    const Settings& settings;
    Seconds now;
    Seconds receiving_since;                           // since when this leader has received heartbeats
    std::map<MachineKind, Seconds> no_capacity_until;  // kinds that the cloud refused recently
    std::vector<ScaleOutRequest> pending_scale_out;    // requested without a response so far
    bool spot_allowed;                                 // every job may use spot machines
    std::map<std::string, Seconds> partitioned_at{};   // by zone: when a plan last found it partitioned
    uint64_t* steps = nullptr;  // counts the machines examined, so that tests can check how the cost grows
};

// Decides which changes to make to the fleet. The counts of recount() must be current and without
// reservations.
ScalingPlan plan_scaling(const Cluster& cluster, const JobTable& jobs, const ScalingInput& input);

}  // namespace hareshore

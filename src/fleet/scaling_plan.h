// The fleet's scaling plan: which machines to request from the cloud, to delete and to drain, within each
// zone's settings for the least and most machines and for idle ones. No I/O; time is a parameter.
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
    kUnreachable,        // it reported before and no longer does
    kNeverReported,      // it runs by the cloud's list and has not reported
    kBootTimeout,        // it does not finish booting
    kUnlisted,           // a job's record names it, the cloud does not list it
    kAnswersLost,        // it reports, but does not receive the answers
    kDrained,            // its tasks were moved to other machines
    kCordoned,           // it was cordoned and its last task has ended
    kIdle,               // nothing runs on it and nothing waits for it
    kHoldsCancelledTask  // it may hang with a task of a cancelled job
};

// The reason as a word of the log.
std::string_view scale_in_reason_text(ScaleInReason reason);

// One machine to be deleted.
struct ScaleInDecision {
    std::string machine;
    ScaleInReason reason = ScaleInReason::kIdle;
    bool only_if_silent = false;  // it is kept if it reports before the cloud is asked to delete it
};

// What is to change in the fleet.
struct ScalingPlan {
    std::vector<ScaleOutRequest> scale_out;
    std::vector<ScaleInDecision> scale_in;
    std::vector<std::string> drain;           // machines whose tasks are to move, so that they can be deleted
    std::set<std::string> partitioned_zones;  // zones taken to be cut off from this controller

    [[nodiscard]] bool scales_in(const std::string& machine) const;  // whether the machine is to be deleted
};

// What a scaling plan is made from.
struct ScalingInput {
    const Config& config;
    const Settings& settings;
    Seconds now;
    Seconds leading_since;                             // since when this leader has heard its workers
    std::map<MachineKind, Seconds> no_capacity_until;  // kinds that the cloud refused lately
    std::vector<ScaleOutRequest> pending_scale_out;    // requested, not answered yet
    bool spot_allowed;                                 // every known job may use spot machines
    std::map<std::string, Seconds> partitioned_at{};   // by zone: when a plan last took it to be cut off
    uint64_t* steps = nullptr;  // counts the machines looked at for jobs; for tests of its growth
};

// Decides what to change in the fleet. The counts of recount() must be current and without reservations.
ScalingPlan plan_scaling(const Cluster& cluster, const JobTable& jobs, const ScalingInput& input);

}  // namespace hareshore

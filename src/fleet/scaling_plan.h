// Rentals: the paper's PilotMonitor per zone, with min, max and min-idle machines. No I/O.
#pragma once
#include <string_view>

#include "cluster/cluster.h"
#include "config/config.h"
#include "jobs/table.h"

namespace hareshore {

// A kind of machine that can be rented.
struct MachineKind {
    std::string machine_type, zone;
    bool spot = false;
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted <=>
    auto operator<=>(const MachineKind&) const = default;
};

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

// Machines that hold a task of a cancelled job longer than any lease can last that it was given since. A task
// that could be stopped is gone by then, one whose machine hears nobody ended with its lease: what is still
// there is on a machine that hangs and may go on, and only the machine's deletion ends it. Also of a zone
// that is cut off, and early enough for the cloud to be slow or away for a while within cancel_s.
std::vector<std::string> machines_holding_cancelled(const Cluster& cluster, const JobTable& jobs,
                                                    const Config& config, Seconds now, Seconds leading_since);

ScalingPlan plan_scaling(const Cluster& cluster, const JobTable& jobs, const ScalingInput& in);

}  // namespace hareshore

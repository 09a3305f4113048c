// Rentals: the paper's PilotMonitor per zone, with min, max and min-idle machines. No I/O.
#pragma once
#include "scheduler/scheduler.h"

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

struct ScalingPlan {
    std::vector<ScaleOutRequest> rent;
    std::vector<std::string> scale_in;
    std::set<std::string> silent;                // of these: kept if they are heard in time
    std::vector<std::string> drain;              // their tasks are to be moved, so that they can be returned
    std::map<std::string, std::string> reasons;  // by machine
    std::set<std::string> cut;                   // zones taken for cut off
};

struct ScalingInput {
    const Config& config;
    const Settings& settings;
    Seconds now = 0;
    Seconds leading_since = 0;
    std::map<MachineKind, Seconds> refused_until;  // kinds without capacity
    std::vector<ScaleOutRequest> on_order;         // asked for, not answered yet
    bool cloud_up = true;
    bool spot_allowed = false;                // every job seen lately may use spot machines
    std::map<std::string, Seconds> cut_at{};  // when a plan last took a zone for cut off
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

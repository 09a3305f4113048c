// What the parts of one scaling plan share.
#pragma once
#include "fleet/scaling_plan.h"

namespace hareshore {

// The state of one call of plan_scaling(). The parts hold references to it and add their decisions to `plan`.
struct PlanningContext {
    const Cluster& cluster;
    const JobTable& jobs;
    const ScalingInput& input;
    ScalingPlan plan;

    // No job has come for a while: what is idle now is not likely to be needed soon.
    [[nodiscard]] bool calm() const { return input.now - jobs.last_arrival() > input.settings.calm_s; }
};

}  // namespace hareshore

// The state shared by the parts of one scaling plan.
#pragma once
#include "fleet/scaling_plan.h"

namespace hareshore {

// The state of one call of plan_scaling(). The parts hold references to it and add their decisions to
// `plan`.
struct PlanningContext {
    const Cluster& cluster;
    const JobTable& jobs;
    const ScalingInput& input;
    ScalingPlan plan;

    // No job has arrived for a while, so machines that are idle now are unlikely to be needed soon.
    [[nodiscard]] bool no_recent_arrivals() const {
        return input.now - jobs.last_arrival() > input.settings.calm_s;
    }
};

}  // namespace hareshore

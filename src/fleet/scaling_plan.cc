#include "fleet/scaling_plan.h"

#include <algorithm>

#include "fleet/consolidation.h"
#include "fleet/fleet_capacity.h"
#include "fleet/idle_machines.h"
#include "fleet/machine_health.h"
#include "fleet/planning_context.h"
#include "fleet/work_placement.h"
#include "scheduler/queue.h"

namespace hareshore {

std::string_view scale_in_reason_text(ScaleInReason reason) {
    switch (reason) {
        case ScaleInReason::kFailed:
            return "failed";
        case ScaleInReason::kUnreachable:
            return "unreachable";
        case ScaleInReason::kNeverReported:
            return "never_reported";
        case ScaleInReason::kBootTimeout:
            return "boot_timeout";
        case ScaleInReason::kUnlisted:
            return "unlisted";
        case ScaleInReason::kAnswersLost:
            return "answers_lost";
        case ScaleInReason::kDrained:
            return "drained";
        case ScaleInReason::kCordoned:
            return "cordoned";
        case ScaleInReason::kIdle:
            return "idle";
        case ScaleInReason::kHoldsCancelledTask:
            return "holds_cancelled_task";
    }
    return "";
}

bool ScalingPlan::scales_in(const std::string& machine) const {
    return std::any_of(scale_in.begin(), scale_in.end(),
                       [&](const ScaleInDecision& decision) { return decision.machine == machine; });
}

ScalingPlan plan_scaling(const Cluster& cluster, const JobTable& jobs, const ScalingInput& input) {
    PlanningContext context{cluster, jobs, input, {}};
    MachineHealth health(context);
    health.find_partitioned_zones();
    health.scale_in_unhealthy();
    FleetCapacity capacity(context, health);
    auto within_guarantee = jobs_within_guarantee(input.config, jobs);
    WorkPlacement(context, capacity)
        .place_all(queue_order(jobs, input.config, input.settings, input.now, within_guarantee));
    request_minimum_machines(context, capacity);
    scale_in_idle(context, capacity);
    consolidate(context, capacity);
    context.plan.scale_out = capacity.new_requests();
    return std::move(context.plan);
}

}  // namespace hareshore

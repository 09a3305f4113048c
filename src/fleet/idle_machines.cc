#include "fleet/idle_machines.h"

#include <algorithm>
#include <compare>
#include <optional>

#include "base/constants.h"

namespace hareshore {

namespace {

// The sort key of an idle machine; the smallest is deleted first: on-demand machines before the cheaper
// spot machines, then those that have been idle longest.
struct IdleRank {
    bool spot = false;
    std::optional<Seconds> idle_since;
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted <=>
    auto operator<=>(const IdleRank&) const = default;
};

IdleRank rank_of(const PlannedMachine& planned) {
    return {planned.kind.spot, planned.machine->idle_since};
}

std::vector<const PlannedMachine*> idle_in_zone(const FleetCapacity& capacity, const std::string& zone) {
    std::vector<const PlannedMachine*> idle;
    for (const PlannedMachine& planned : capacity.machines())
        if (planned.kind.zone == zone && planned.machine && planned.machine->heartbeat_received &&
            planned.idle())
            idle.push_back(&planned);
    std::sort(idle.begin(), idle.end(), [](const PlannedMachine* a, const PlannedMachine* b) {
        auto order = rank_of(*a) <=> rank_of(*b);
        return std::is_neq(order) ? std::is_lt(order) : a->machine->name < b->machine->name;
    });
    return idle;
}

// How many machines the zone lacks, counting those that are planned.
int missing_in_zone(const PlanningContext& context, const FleetCapacity& capacity, const std::string& zone) {
    int idle = 0;
    for (const PlannedMachine& planned : capacity.machines())
        if (planned.kind.zone == zone && planned.idle()) ++idle;
    const Settings& settings = context.input.settings;
    return std::max(settings.min_idle_machines - idle,
                    settings.min_machines - capacity.machines_in_zone(zone));
}

}  // namespace

void request_minimum_machines(const PlanningContext& context, FleetCapacity& capacity) {
    for (const auto& zone : context.input.config.zones) {
        int missing = missing_in_zone(context, capacity, zone);
        for (const MachineType& type : context.cluster.machine_types) {
            if (std::find(type.zones.begin(), type.zones.end(), zone) == type.zones.end()) continue;
            for (bool spot : {true, false}) {
                MachineKind kind{type.name, zone, spot};
                if ((spot && !context.input.spot_allowed) || !capacity.available(kind)) continue;
                while (missing > 0 && capacity.request(kind)) --missing;
            }
        }
    }
}

void scale_in_idle(PlanningContext& context, const FleetCapacity& capacity) {
    const ScalingInput& input = context.input;
    Seconds idle_limit =
        context.no_recent_arrivals() ? constants::kNoArrivalsIdleReturn_s : input.settings.idle_return_s;
    for (const auto& zone : input.config.zones) {
        auto idle = idle_in_zone(capacity, zone);
        int surplus = std::min(static_cast<int>(idle.size()) - input.settings.min_idle_machines,
                               capacity.machines_in_zone(zone) - input.settings.min_machines);
        for (const PlannedMachine* planned : idle) {
            if (surplus <= 0) break;
            const Machine& machine = *planned->machine;
            Seconds idle_since =
                std::max(machine.idle_since.value_or(input.receiving_since), input.receiving_since);
            if (input.now - idle_since < idle_limit) continue;
            context.plan.scale_in.push_back({machine.name, ScaleInReason::kIdle, false});
            --surplus;
        }
    }
}

}  // namespace hareshore

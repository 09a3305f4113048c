#include "fleet/fleet_capacity.h"

#include <algorithm>

#include "base/constants.h"

namespace hareshore {

namespace {

// The resources that running tasks are expected to free before a machine requested now would have booted.
// Tasks that are long overdue are not counted.
Resources expected_to_become_free(const PlanningContext& context, const Machine& machine, Seconds boot_s) {
    Seconds now = context.input.now;
    Resources expected;
    for (const auto& [job, task, placement] : context.jobs.placements_on(machine.name)) {
        const JobSpec& spec = job->spec;
        if (spec.service() || !placement->running_since) continue;
        Seconds running_since = *placement->running_since;
        if (running_since + spec.estimate_s < now + boot_s && now - running_since < 2 * spec.estimate_s)
            expected += Resources::of(spec);
    }
    return expected;
}

}  // namespace

uint32_t PlannedMachine::place_in(Resources& resources, const JobSpec& spec, uint32_t tasks) {
    uint32_t placed = resources.count_fitting(spec, tasks);
    for (uint32_t i = 0; i < placed; ++i) resources -= Resources::of(spec);
    if (placed > 0) used = true;
    return placed;
}

FleetCapacity::FleetCapacity(const PlanningContext& context, const MachineHealth& health)
    : context_(context) {
    for (const auto& [name, machine] : context.cluster.machines) {
        const MachineType* type = context.cluster.machine_type(machine->machine_type);
        if (type && health.provides_capacity(*machine)) add_existing(*machine, *type);
    }
    for (const auto& request : context.input.pending_scale_out)
        if (const MachineType* type = context.cluster.machine_type(request.kind.machine_type))
            for (int i = 0; i < request.number; ++i) add_requested(request.kind, *type, false);
}

int FleetCapacity::machines_in_zone(const std::string& zone) const {
    auto it = in_zone_.find(zone);
    return it == in_zone_.end() ? 0 : it->second;
}

bool FleetCapacity::available(const MachineKind& kind) const {
    if (context_.plan.partitioned_zones.contains(kind.zone)) return false;
    auto it = context_.input.no_capacity_until.find(kind);
    return it == context_.input.no_capacity_until.end() || context_.input.now >= it->second;
}

bool FleetCapacity::request(const MachineKind& kind) {
    const MachineType* type = context_.cluster.machine_type(kind.machine_type);
    if (!type) return false;
    int max_in_zone = context_.input.settings.max_machines;
    if (max_in_zone > 0 && machines_in_zone(kind.zone) >= max_in_zone) return false;
    if (requested_ >= max_requested()) return false;
    add_requested(kind, *type, true);
    return true;
}

std::vector<ScaleOutRequest> FleetCapacity::new_requests() const {
    std::map<MachineKind, int> numbers;
    for (const PlannedMachine& planned : machines_)
        if (planned.new_request) ++numbers[planned.kind];
    std::vector<ScaleOutRequest> requests;
    requests.reserve(numbers.size());
    for (const auto& [kind, number] : numbers) requests.push_back({kind, number});
    return requests;
}

void FleetCapacity::add_existing(const Machine& machine, const MachineType& type) {
    PlannedMachine planned;
    planned.machine = &machine;
    planned.kind = {machine.machine_type, machine.zone, machine.spot};
    planned.free = machine.free;
    planned.expected_free = expected_to_become_free(context_, machine, type.boot_s);
    machines_.push_back(planned);
    ++in_zone_[machine.zone];
}

void FleetCapacity::add_requested(const MachineKind& kind, const MachineType& type, bool new_request) {
    PlannedMachine planned;
    planned.kind = kind;
    planned.free = Resources::of_machine(type.cpus, type.gpus, type.memory_gb);
    planned.new_request = new_request;
    machines_.push_back(planned);
    ++in_zone_[kind.zone];
    ++requested_;
}

// The size of a fleet is bounded by the cloud's capacity; outstanding requests are bounded by what the
// cloud accepts in a second, however many tasks wait.
size_t FleetCapacity::max_requested() const {
    double requests_per_s = std::max(1.0, context_.input.config.cloud_rps);
    return constants::kMachinesPerScaleOutRequest * static_cast<size_t>(requests_per_s);
}

}  // namespace hareshore

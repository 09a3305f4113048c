#include "cluster/cluster.h"

#include <algorithm>

namespace hareshore {

namespace {

// A limit of 0 means unlimited.
bool within(double limit, double amount) {
    return limit <= 0 || amount <= limit + kRoundingError;
}

}  // namespace

const MachineType* Cluster::machine_type(const std::string& name) const {
    auto it = std::find_if(machine_types.begin(), machine_types.end(),
                           [&](const MachineType& type) { return type.name == name; });
    return it == machine_types.end() ? nullptr : &*it;
}

Machine* Cluster::machine(const std::string& name) {
    auto it = machines.find(name);
    return it == machines.end() ? nullptr : it->second.get();
}

Machine& Cluster::find_or_add(const std::string& name, Seconds now) {
    auto& machine = machines[name];
    if (!machine) {
        machine = std::make_unique<Machine>();
        machine->name = name;
        machine->last_heartbeat = now;
        machine->created_at = now;
    }
    return *machine;
}

bool Cluster::within_limit(const Config& config, const JobSpec& spec, uint32_t tasks) const {
    return within_limit(config, spec, tasks, TeamUsage{});
}

bool Cluster::within_limit(const Config& config, const JobSpec& spec, uint32_t tasks,
                           TeamUsage reserved) const {
    const Team* team = config.team(spec.team);
    if (!team) return false;
    auto it = teams.find(spec.team);
    TeamUsage used = it == teams.end() ? TeamUsage{} : it->second;
    used.cpus += reserved.cpus;
    used.gpus += reserved.gpus;
    return within(team->cpus_max, used.cpus + tasks * spec.cpus) &&
           within(team->gpus_max, used.gpus + tasks * spec.gpus);
}

}  // namespace hareshore

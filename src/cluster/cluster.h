// The leader's view of all machines, and what the teams' tasks on them take.
#pragma once
#include <map>
#include <memory>
#include <unordered_map>

#include "cluster/machine.h"
#include "config/config.h"

namespace hareshore {

struct TeamUsage {
    double cpus = 0, gpus = 0;
};

struct Cluster {
    std::map<std::string, std::unique_ptr<Machine>> machines;
    std::vector<MachineType> machine_types;
    std::unordered_map<std::string, TeamUsage> teams;

    const MachineType* machine_type(const std::string& name) const;
    Machine* machine(const std::string& name);
    Machine& ensure(const std::string& name, Seconds now);
    // Whether the team's limit allows so many more tasks beside what it uses and what is kept.
    bool within_limit(const Config& config, const JobSpec& spec, uint32_t tasks, TeamUsage kept = {}) const;
};

}  // namespace hareshore

// The leader's view of all machines, and what the teams' tasks on them take. No I/O; time is a parameter.
#pragma once
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "cluster/machine.h"
#include "config/config.h"

namespace hareshore {

struct TeamUsage {
    double cpus = 0;
    double gpus = 0;
};

// Machines are owned here; references to one are valid until it is erased.
struct Cluster {
    std::map<std::string, std::unique_ptr<Machine>> machines;  // by name
    std::vector<MachineType> machine_types;                    // that the cloud offers
    std::unordered_map<std::string, TeamUsage> teams;          // by team; brought up to date by recount()

    // Null if the cloud does not offer it, or its offer is not read yet.
    const MachineType* machine_type(const std::string& name) const;
    // Null if it is not known.
    Machine* machine(const std::string& name);
    // The machine, added as one that was just created if it is not known.
    Machine& ensure(const std::string& name, Seconds now);
    // Whether the team's limit allows so many more tasks beside what it uses, and beside what is reserved.
    bool within_limit(const Config& config, const JobSpec& spec, uint32_t tasks) const;
    bool within_limit(const Config& config, const JobSpec& spec, uint32_t tasks, TeamUsage reserved) const;
};

}  // namespace hareshore

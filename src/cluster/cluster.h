// The leader's view of all machines and of the teams' usage. No I/O; time is a parameter.
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

// Owns the machines; a reference to one is valid until it is erased.
struct Cluster {
    std::map<std::string, std::unique_ptr<Machine>> machines;  // by name
    std::vector<MachineType> machine_types;                    // offered by the cloud
    std::unordered_map<std::string, TeamUsage> teams;          // by team; updated by recount()

    // nullptr if the cloud does not offer the type, or its list of types has not been read yet.
    const MachineType* machine_type(const std::string& name) const;
    // nullptr if the machine is not known.
    Machine* machine(const std::string& name);
    // Returns the machine; adds it, as one that was just created, if it is not known.
    Machine& find_or_add(const std::string& name, Seconds now);
    // Whether the team's limit allows so many more tasks on top of its usage and of `reserved`.
    bool within_limit(const Config& config, const JobSpec& spec, uint32_t tasks) const;
    bool within_limit(const Config& config, const JobSpec& spec, uint32_t tasks, TeamUsage reserved) const;
};

}  // namespace hareshore

// The machine types that the cloud offers, and the machines in its list.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"

namespace hareshore {

// A type of machine that can be created.
struct MachineType {
    std::string name;
    double cpus = 0;
    double gpus = 0;
    double memory_gb = 0;
    double cache_gb = 0;  // for images
    double fetch_gb_per_s = 0;
    double price = 0;       // per hour
    double spot_price = 0;  // per hour
    Seconds boot_s = 0;
    std::vector<std::string> zones;

    // Whether a task with these resource requirements fits an empty machine of this type.
    [[nodiscard]] bool fits(double task_cpus, double task_gpus, double task_memory_gb) const {
        return task_cpus <= cpus && task_gpus <= gpus && task_memory_gb <= memory_gb;
    }
};

// In the order of a machine's life cycle; a machine never returns to an earlier phase.
enum class MachinePhase : uint8_t { kBooting, kRunning, kFailed };

// A machine in the cloud's list, which may be some seconds out of date.
struct ListedMachine {
    std::string name;
    std::string addr;  // of the worker's server; empty while the machine boots
    std::string machine_type;
    std::string zone;
    bool spot = false;
    MachinePhase phase = MachinePhase::kBooting;
    Seconds age_s = 0;  // since its creation
};

}  // namespace hareshore

// What the cloud offers and lists: machine types, and the machines that exist.
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

    // Whether an empty machine of this type has room for a task that needs so much.
    [[nodiscard]] bool fits(double task_cpus, double task_gpus, double task_memory_gb) const {
        return task_cpus <= cpus && task_gpus <= gpus && task_memory_gb <= memory_gb;
    }
};

// In the order in which a machine passes them; it does not return to an earlier one.
enum class MachinePhase : uint8_t { kBooting, kRunning, kFailed };

// A machine in the cloud's list, which may lag behind by some seconds.
struct ListedMachine {
    std::string name;
    std::string addr;  // of its worker's server, empty while it boots
    std::string machine_type;
    std::string zone;
    bool spot = false;
    MachinePhase phase = MachinePhase::kBooting;
    Seconds age_s = 0;  // since its creation
};

}  // namespace hareshore

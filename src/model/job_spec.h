// What a user asked for. Names are the field's usual ones; the wire's are in users/.
#pragma once
#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"

namespace hareshore {

// A service's tasks (replicas) run until the job is cancelled: none of them is ever done.
enum class JobKind : uint8_t { kArray, kGang, kService };
enum class PriorityClass : uint8_t { kIdle, kStandard, kHigh, kProduction };

struct JobSpec {
    std::string id, job_class, team;
    JobKind kind = JobKind::kArray;
    PriorityClass priority = PriorityClass::kStandard;
    uint32_t tasks = 0;
    double cpus = 0, gpus = 0, memory_gb = 0;  // each task
    std::string image;
    double image_gb = 0;
    std::vector<std::string> machine_types;  // empty: any
    std::string zone;                        // empty: any
    bool single_zone = false, spread_across_zones = false, spot = false;
    Seconds estimate_s = 0, checkpoint_s = 0, save_s = 0;
    std::optional<Seconds> due_s;

    bool gang() const { return kind == JobKind::kGang; }
    bool service() const { return kind == JobKind::kService; }
    bool allows(const std::string& machine_type, const std::string& in_zone, bool is_spot) const {
        if (is_spot && !spot) return false;
        if (!zone.empty() && zone != in_zone) return false;
        return machine_types.empty() ||
               std::find(machine_types.begin(), machine_types.end(), machine_type) != machine_types.end();
    }
    bool operator==(const JobSpec&) const = default;
};

enum class JobPhase : uint8_t { kPending, kRunning, kDone, kCancelled };

}  // namespace hareshore

// The specification of a job as submitted by a user. users/ maps the field names of the user API to these.
#pragma once
#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"

namespace hareshore {

// The values are stored in records and must not change.
enum class JobKind : uint8_t {
    kArray,    // independent tasks
    kGang,     // tasks that start and end together
    kService,  // replicas, which run until the job is cancelled and are never done
};

// From lowest to highest. The values are stored in records and must not change.
enum class PriorityClass : uint8_t { kIdle, kStandard, kHigh, kProduction };

struct JobSpec {
    std::string id;
    std::string job_class;  // selects the service-level objectives
    std::string team;
    JobKind kind = JobKind::kArray;
    PriorityClass priority = PriorityClass::kStandard;
    uint32_t tasks = 0;

    // Resources of each task.
    double cpus = 0;
    double gpus = 0;
    double memory_gb = 0;
    std::string image;
    double image_gb = 0;

    // Where tasks may run.
    std::vector<std::string> machine_types;  // empty: any
    std::string zone;                        // empty: any
    bool single_zone = false;                // all tasks in one zone
    bool spread_across_zones = false;        // at most half of the tasks in any one zone
    bool spot = false;                       // spot instances are allowed

    Seconds estimate_s = 0;        // expected run time of a task
    Seconds checkpoint_s = 0;      // checkpoint interval; 0: no checkpoints
    Seconds save_s = 0;            // time to write a checkpoint
    std::optional<Seconds> due_s;  // deadline, relative to the acceptance of the job

    [[nodiscard]] bool gang() const { return kind == JobKind::kGang; }
    [[nodiscard]] bool service() const { return kind == JobKind::kService; }
    // Whether its tasks may run on such a machine.
    [[nodiscard]] bool allows(const std::string& machine_type, const std::string& machine_zone,
                              bool spot_machine) const {
        if (spot_machine && !spot) return false;
        if (!zone.empty() && zone != machine_zone) return false;
        return machine_types.empty() ||
               std::find(machine_types.begin(), machine_types.end(), machine_type) != machine_types.end();
    }
    bool operator==(const JobSpec&) const = default;
};

// The phase of a job as shown to users.
enum class JobPhase : uint8_t { kPending, kRunning, kDone, kCancelled };

}  // namespace hareshore

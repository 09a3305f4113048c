// What a user asked for. Names are the field's usual ones; the wire's are mapped in users/.
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
    kGang,     // tasks that start together and end together
    kService,  // replicas, which run until the job is cancelled: none of them is ever done
};

// From the lowest to the highest. The values are stored in records and must not change.
enum class PriorityClass : uint8_t { kIdle, kStandard, kHigh, kProduction };

struct JobSpec {
    std::string id;
    std::string job_class;  // selects the service-level objectives
    std::string team;
    JobKind kind = JobKind::kArray;
    PriorityClass priority = PriorityClass::kStandard;
    uint32_t tasks = 0;

    // What each task takes.
    double cpus = 0;
    double gpus = 0;
    double memory_gb = 0;
    std::string image;
    double image_gb = 0;

    // Where tasks may run.
    std::vector<std::string> machine_types;  // empty: any
    std::string zone;                        // empty: any
    bool single_zone = false;                // all in one zone
    bool spread_across_zones = false;        // no more than half of them in one zone
    bool spot = false;                       // spot machines are allowed

    Seconds estimate_s = 0;        // expected run time of a task
    Seconds checkpoint_s = 0;      // interval of checkpoints; 0: none
    Seconds save_s = 0;            // time that saving progress takes
    std::optional<Seconds> due_s;  // deadline, from the acceptance on

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

// How far a job is, as users are told.
enum class JobPhase : uint8_t { kPending, kRunning, kDone, kCancelled };

}  // namespace hareshore

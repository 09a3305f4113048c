// A task bound to a machine, as the leader tracks it from the binding to the exit.
#pragma once
#include <cstdint>
#include <optional>
#include <string>

#include "base/clock.h"
#include "workers/worker_heartbeat.h"

namespace hareshore {

// The heartbeats whose responses carried the launch command of a placement.
struct LaunchAttempts {
    // The newest heartbeat whose response carried the launch; sequence 0: none did.
    uint64_t incarnation = 0;
    uint64_t sequence = 0;
    int responses = 0;  // the number of heartbeats whose responses carried the launch

    [[nodiscard]] bool sent() const { return sequence != 0; }
};

struct Placement {
    uint64_t attempt = 0;
    std::string machine;
    std::string zone;
    uint64_t job_version = 0;  // the job's version that first includes it; launched once that is committed
    bool from_earlier_leader = false;  // read from the record: an earlier leader may have launched it
    LaunchAttempts launch;
    bool acknowledged = false;  // a heartbeat has listed the task
    TaskPhase phase = TaskPhase::kFetching;
    Seconds bound_at = 0;
    bool stopping = false;
    Seconds grace_s = 0;  // that a stopping task has to save its progress
    std::optional<Seconds> running_since;

    // How long it has run; 0 unless it has been reported as running.
    [[nodiscard]] Seconds run_time(Seconds now) const { return running_since ? now - *running_since : 0; }
};

}  // namespace hareshore

// A task bound to a machine, as the leader follows it from the binding to the exit.
#pragma once
#include <cstdint>
#include <optional>
#include <string>

#include "base/clock.h"
#include "workers/worker_heartbeat.h"

namespace hareshore {

// The launch command of a placement: in which heartbeats' answers it was sent.
struct LaunchAttempts {
    // The newest heartbeat whose answer carried the launch; sequence 0: none did.
    uint64_t incarnation = 0;
    uint64_t sequence = 0;
    int answers = 0;  // heartbeats whose answers carried it

    [[nodiscard]] bool sent() const { return sequence != 0; }
};

struct Placement {
    uint64_t attempt = 0;
    std::string machine;
    std::string zone;
    uint64_t job_version = 0;  // the job's version that first holds it; launched once that is committed
    bool from_earlier_leader = false;  // read from the record: that leader may have launched it
    LaunchAttempts launch;
    bool acknowledged = false;  // the machine has reported the task
    TaskPhase phase = TaskPhase::kFetching;
    Seconds bound_at = 0;
    bool stopping = false;  // it is being stopped, with `grace_s` to save its progress
    Seconds grace_s = 0;
    std::optional<Seconds> running_since;

    // For how long it has run; 0 if it has not been reported as running.
    [[nodiscard]] Seconds ran(Seconds now) const { return running_since ? now - *running_since : 0; }
};

}  // namespace hareshore

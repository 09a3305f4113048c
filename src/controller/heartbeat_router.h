// Decides how a worker's heartbeat that arrived at a non-leader reaches the leader.
#pragma once
#include <optional>
#include <string>
#include <unordered_map>

#include "base/clock.h"
#include "controller/zone_partition.h"
#include "workers/worker_heartbeat.h"

namespace hareshore {

enum class HeartbeatRouting : uint8_t {
    kRedirect,  // the response directs the worker to the leader
    kRelay,     // the worker cannot reach the leader: this controller forwards the heartbeat
};

// Tracks where workers were redirected. A worker that contacts this controller again within
// kRelayAfterRedirection_s of a redirect could not reach the leader: it is relayed for kRelayPeriod_s, then
// redirected again to probe whether the leader has become reachable.
class HeartbeatRouter {
  public:
    // `leader`: the label of the current leader, which must be another controller.
    [[nodiscard]] HeartbeatRouting route(const HeartbeatHeader& heartbeat, const std::string& leader,
                                         Seconds now);

  private:
    struct WorkerState {
        std::string leader;  // label of the leader to which the worker was last routed
        Seconds routed_at = 0;
        std::optional<Seconds> relayed_since;
        // The newest heartbeat routed. A delayed duplicate of it, or an older one, does not show that a
        // redirect failed.
        uint64_t incarnation = 0;
        uint64_t sequence = 0;
    };

    std::unordered_map<std::string, WorkerState> workers_;  // by machine
    ZonePartitionDetector partitions_;
};

}  // namespace hareshore

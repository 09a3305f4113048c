// Decides how a worker's heartbeat reaches the leader when it came to another controller.
#pragma once
#include <optional>
#include <string>
#include <unordered_map>

#include "base/clock.h"
#include "controller/zone_partition.h"
#include "workers/worker_heartbeat.h"

namespace hareshore {

enum class HeartbeatRouting : uint8_t {
    kRedirect,  // the worker is told to send to the leader
    kRelay,     // the worker cannot reach the leader: this controller sends the heartbeat on
};

// Remembers where workers were sent. A worker that was redirected and returns is relayed for kRelayPeriod_s,
// then redirected again to find out whether the cut is over.
class HeartbeatRouter {
  public:
    // `leader`: the label of the leader, which is another controller.
    [[nodiscard]] HeartbeatRouting route(const HeartbeatHeader& heartbeat, const std::string& leader,
                                         Seconds now);

  private:
    struct WorkerState {
        std::string leader;  // to which the worker was last redirected or relayed
        Seconds routed_at = 0;
        std::optional<Seconds> relayed_since;
        // The newest heartbeat that was routed. A late copy of it, or of an older one, does not show that the
        // worker returned.
        uint64_t incarnation = 0;
        uint64_t sequence = 0;
    };

    std::unordered_map<std::string, WorkerState> workers_;  // by machine
    ZonePartitionDetector partitions_;
};

}  // namespace hareshore

// Detects that the network is cut between a zone's workers and the leader.
#pragma once
#include <map>
#include <string>

#include "base/clock.h"

namespace hareshore {

// A worker that was redirected to the leader and returns could not reach it. One such worker may be at fault
// itself; kPartitionMinWorkers of a zone within kRelayAfterRedirection_s show that its other workers are cut
// off, too.
class ZonePartitionDetector {
  public:
    void record_returned_worker(const std::string& zone, const std::string& machine, Seconds now);
    // Whether the zone counts as cut off from the leader. Forgets workers that returned too long ago.
    [[nodiscard]] bool is_partitioned(const std::string& zone, Seconds now);

  private:
    using ReturnTimes = std::map<std::string, Seconds>;  // by machine

    // Zones are named by workers, so their number is bounded only here.
    ReturnTimes& returns_of(const std::string& zone);

    std::map<std::string, ReturnTimes> zones_;
};

}  // namespace hareshore

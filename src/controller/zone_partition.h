// Detects a network partition between a zone's workers and the leader.
#pragma once
#include <map>
#include <string>

#include "base/clock.h"

namespace hareshore {

// A worker that contacts this controller again after a redirect could not reach the leader. A single such
// worker may be faulty itself; kPartitionMinWorkers workers of one zone within kRelayAfterRedirection_s show
// that the zone's other workers cannot reach the leader either.
class ZonePartitionDetector {
  public:
    void record_failed_redirect(const std::string& zone, const std::string& machine, Seconds now);
    // Whether the zone is considered partitioned from the leader. Removes failed redirects that have expired.
    [[nodiscard]] bool is_partitioned(const std::string& zone, Seconds now);

  private:
    using FailureTimes = std::map<std::string, Seconds>;  // by machine

    // Workers send arbitrary zone names, so the number of zones is bounded here.
    FailureTimes& failed_redirects_in(const std::string& zone);

    std::map<std::string, FailureTimes> zones_;
};

}  // namespace hareshore

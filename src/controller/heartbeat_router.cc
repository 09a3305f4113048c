#include "controller/heartbeat_router.h"

#include "base/constants.h"

namespace hareshore {

HeartbeatRouting HeartbeatRouter::route(const HeartbeatHeader& heartbeat, const std::string& leader,
                                        Seconds now) {
    if (workers_.size() > constants::kRedirectionsKept) workers_.clear();
    WorkerState& worker = workers_[heartbeat.machine];
    const bool is_new = heartbeat.newer_than(worker.incarnation, worker.sequence);
    const bool was_sent_there =
        worker.leader == leader && now - worker.routed_at < constants::kRelayAfterRedirection_s;
    const bool returned = is_new && was_sent_there;
    if (is_new) {
        worker.incarnation = heartbeat.incarnation;
        worker.sequence = heartbeat.sequence;
    }
    if (returned && !worker.relayed_since)
        partitions_.record_returned_worker(heartbeat.zone, heartbeat.machine, now);

    // Other workers of a partitioned zone are relayed without being redirected first.
    const bool unreachable = returned || (is_new && partitions_.is_partitioned(heartbeat.zone, now));
    const bool relayed_long_enough =
        worker.relayed_since && now - *worker.relayed_since >= constants::kRelayPeriod_s;
    const bool relay = unreachable && !relayed_long_enough;
    if (!relay) {
        worker.relayed_since.reset();
    } else if (!worker.relayed_since || worker.leader != leader) {
        worker.relayed_since = now;
    }
    worker.leader = leader;
    worker.routed_at = now;
    return relay ? HeartbeatRouting::kRelay : HeartbeatRouting::kRedirect;
}

}  // namespace hareshore

#include "controller/heartbeat_router.h"

#include "base/constants.h"

namespace hareshore {

HeartbeatRouting HeartbeatRouter::route(const HeartbeatHeader& heartbeat, const std::string& leader,
                                        Seconds now) {
    if (workers_.size() > constants::kRedirectionsKept) workers_.clear();
    WorkerState& worker = workers_[heartbeat.machine];
    const bool is_new = heartbeat.newer_than(worker.incarnation, worker.sequence);
    const bool recently_redirected =
        worker.leader == leader && now - worker.routed_at < constants::kRelayAfterRedirection_s;
    const bool redirect_failed = is_new && recently_redirected;
    if (is_new) {
        worker.incarnation = heartbeat.incarnation;
        worker.sequence = heartbeat.sequence;
    }
    if (redirect_failed && !worker.relayed_since)
        partitions_.record_failed_redirect(heartbeat.zone, heartbeat.machine, now);

    // All workers of a partitioned zone are relayed without a redirect of their own.
    const bool leader_unreachable =
        redirect_failed || (is_new && partitions_.is_partitioned(heartbeat.zone, now));
    const bool relayed_long_enough =
        worker.relayed_since && now - *worker.relayed_since >= constants::kRelayPeriod_s;
    const bool relay = leader_unreachable && !relayed_long_enough;
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

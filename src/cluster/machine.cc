#include "cluster/machine.h"

namespace hareshore {

void Machine::update_reachability(const WorkerHeartbeat& heartbeat, HeartbeatRoute route, Seconds lease_s,
                                  Seconds now) {
    auto mark_unreachable = [&] {
        if (!unreachable_since) unreachable_since = now;
    };
    if (heartbeat.incarnation > incarnation) {
        // Its lease expired although the last response was sent well within the lease.
        if (last_response_at && now - *last_response_at < lease_s / 2) mark_unreachable();
    } else if (route == HeartbeatRoute::kDirect && next_sequence_predictable) {
        // A worker that receives responses stays with its controller and numbers its heartbeats
        // consecutively. A gap in the numbers means that it has sent heartbeats to other controllers.
        if (heartbeat.sequence == last_response_sequence + 1) {
            unreachable_since.reset();
        } else {
            mark_unreachable();
        }
    }
    next_sequence_predictable = false;
}

void Machine::record_response(bool next_sequence_known, Seconds now) {
    last_response_at = now;
    last_response_sequence = sequence;
    next_sequence_predictable = next_sequence_known;
}

}  // namespace hareshore

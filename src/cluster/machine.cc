#include "cluster/machine.h"

namespace hareshore {

void Machine::update_reachability(const WorkerHeartbeat& heartbeat, HeartbeatRoute route, Seconds lease_s,
                                  Seconds now) {
    auto suspect = [&] {
        if (!unreachable_since) unreachable_since = now;
    };
    if (heartbeat.incarnation > incarnation) {
        // Its lease ended although it was answered well within it.
        if (last_response_at && now - *last_response_at < lease_s / 2) suspect();
    } else if (route == HeartbeatRoute::kDirect && next_sequence_predictable) {
        // One that receives answers stays and numbers its heartbeats one by one; any other has asked others.
        if (heartbeat.sequence == last_response_sequence + 1) {
            unreachable_since.reset();
        } else {
            suspect();
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

#include "cluster/machine.h"

namespace hareshore {

void Machine::update_reachability(const WorkerHeartbeat& heartbeat, HeartbeatRoute route, Seconds lease_s,
                                  Seconds now) {
    auto suspect = [&] {
        if (!unreachable_since) unreachable_since = now;
    };
    if (heartbeat.incarnation > incarnation) {
        // Its lease ended although it was answered well within it.
        if (answered_at && now - *answered_at < lease_s / 2) suspect();
    } else if (route == HeartbeatRoute::kDirect && answered_directly) {
        // One that receives answers stays and numbers its heartbeats one by one; any other has asked others.
        if (heartbeat.sequence == answered_sequence + 1) {
            unreachable_since.reset();
        } else {
            suspect();
        }
    }
    answered_directly = false;
}

void Machine::answered(bool next_sequence_known, Seconds now) {
    answered_at = now;
    answered_sequence = sequence;
    answered_directly = next_sequence_known;
}

}  // namespace hareshore

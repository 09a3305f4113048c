#include "cluster/machine.h"

namespace hareshore {

void Machine::update_reachability(const WorkerHeartbeat& r, HeartbeatRoute route, Seconds lease_s,
                                  Seconds now) {
    auto doubt = [&] {
        if (!unreachable_since) unreachable_since = now;
    };
    if (r.incarnation > incarnation) {
        // Its lease ended although it was answered well within it.
        if (answered_at && now - *answered_at < lease_s / 2) doubt();
    } else if (route == HeartbeatRoute::kDirect && answered_directly) {
        // One that is answered stays and numbers its reports one by one; one that is not has asked others.
        if (r.sequence == answered_sequence + 1) {
            unreachable_since.reset();
        } else {
            doubt();
        }
    }
    answered_directly = false;
}

void Machine::answered(bool direct, Seconds now) {
    answered_at = now;
    answered_sequence = sequence;
    answered_directly = direct;
}

}  // namespace hareshore

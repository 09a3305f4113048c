#include "controller/readiness.h"

#include "base/constants.h"

namespace hareshore {

namespace {

// A peer is served if the store answered it in the first half of the time after which it would itself count
// as refused.
bool is_served_by_store(const peer::PeerStatus& peer) {
    const auto age = peer.store_age();
    return peer.last_heartbeat().ready && age && *age < constants::kUnreadyAfterStoreRefusal_s / 2;
}

// Whether this controller may serve users while the store does not answer it.
Readiness decide_without_store(const ReadinessInput& input, Seconds unserved_for) {
    bool any_peer_present = input.peers.empty();
    for (const auto& peer : input.peers) {
        if (!peer.is_present(input.now)) continue;
        any_peer_present = true;
        if (is_served_by_store(peer)) return Readiness::kOnlyPeersHaveStore;
    }
    // In an outage for all, users are better answered than turned away. Without any peer, this controller is
    // more likely cut off than all of them are down: users who stay with it would wait until the cut ends.
    const bool isolated = !any_peer_present && unserved_for >= constants::kUnreadyAfterIsolation_s;
    return isolated ? Readiness::kIsolated : Readiness::kReady;
}

}  // namespace

Readiness decide_readiness(const ReadinessInput& input) {
    if (!input.records_readable) return Readiness::kRecordsUnreadable;
    const Seconds served_until = input.last_store_contact.value_or(input.started_at);
    const Seconds unserved_for = input.now - served_until;
    if (!input.last_store_contact) {
        // Started in an outage. The machine types are not needed to tell users when to retry, and the load
        // balancer need not find this controller anew when the outage ends. But the peers must have had time
        // to report whether they are served.
        if (unserved_for < 2 * constants::kPeerHeartbeatInterval_s) return Readiness::kStarting;
        return decide_without_store(input, unserved_for);
    }
    if (!input.machine_types_known) return Readiness::kStarting;
    if (unserved_for < constants::kUnreadyAfterStoreRefusal_s) return Readiness::kReady;
    return decide_without_store(input, unserved_for);
}

}  // namespace hareshore

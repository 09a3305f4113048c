#include "controller/readiness.h"

#include "base/constants.h"

namespace hareshore {

namespace {

// True if the peer is ready and the store responded to it within half of the time after which it would itself
// become unready.
bool can_reach_store(const peer::PeerStatus& peer) {
    const auto age = peer.store_age();
    return peer.last_heartbeat().ready && age && *age < constants::kUnreadyAfterStoreRefusal_s / 2;
}

// Readiness while the store does not respond to this controller.
Readiness decide_without_store(const ReadinessInput& input, Seconds without_store_for) {
    bool any_peer_present = input.peers.empty();
    for (const auto& peer : input.peers) {
        if (!peer.is_present(input.now)) continue;
        any_peer_present = true;
        if (can_reach_store(peer)) return Readiness::kStoreReachableFromPeerOnly;
    }
    // If the store is down for all controllers, telling users when to retry is better than refusing them. If
    // no peer is present either, a network partition of this controller is more likely than a failure of all
    // peers, and users who stay with it would wait until the partition heals.
    const bool isolated = !any_peer_present && without_store_for >= constants::kUnreadyAfterIsolation_s;
    return isolated ? Readiness::kIsolated : Readiness::kReady;
}

}  // namespace

Readiness decide_readiness(const ReadinessInput& input) {
    if (!input.records_readable) return Readiness::kRecordsUnreadable;
    const Seconds last_contact = input.last_store_contact.value_or(input.started_at);
    const Seconds without_store_for = input.now - last_contact;
    if (!input.last_store_contact) {
        // Started during an outage of the store. Telling users when to retry does not need the machine types,
        // and a ready controller need not be rediscovered by the load balancer when the outage ends. But
        // peers must have had time to report whether they reach the store.
        if (without_store_for < 2 * constants::kPeerHeartbeatInterval_s) return Readiness::kStarting;
        return decide_without_store(input, without_store_for);
    }
    if (!input.machine_types_known) return Readiness::kStarting;
    if (without_store_for < constants::kUnreadyAfterStoreRefusal_s) return Readiness::kReady;
    return decide_without_store(input, without_store_for);
}

}  // namespace hareshore

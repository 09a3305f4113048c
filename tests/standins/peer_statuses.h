// Statuses of peers from which heartbeats or responses have arrived, for tests of decisions based on them.
#pragma once
#include <string>

#include "peer/peer_status.h"

namespace hareshore::test {

inline PeerAddress peer_address(const std::string& label) {
    PeerAddress address;
    address.label = label;
    return address;
}

inline peer::ControllerHeartbeat controller_heartbeat(const std::string& label) {
    peer::ControllerHeartbeat heartbeat{};
    peer::set_label(heartbeat, label);
    heartbeat.incarnation = 7;
    heartbeat.store_age_ms = peer::kNoStoreContact;
    return heartbeat;
}

// Returns a peer whose first heartbeat arrived at `received_at`.
inline peer::PeerStatus peer_with_heartbeat(const peer::ControllerHeartbeat& heartbeat, Seconds received_at) {
    peer::PeerStatus status(peer_address(peer::label_of(heartbeat)));
    status.receive_heartbeat(1, heartbeat, received_at);
    return status;
}

// Returns a peer that answered immediately a heartbeat that this process sent at `sent_at`.
inline peer::PeerStatus peer_with_response(peer::ControllerHeartbeat response, Seconds sent_at) {
    response.request_sent_us = static_cast<uint64_t>(sent_at * 1e6);
    peer::PeerStatus status(peer_address(peer::label_of(response)));
    status.receive_response(1, response, sent_at);
    return status;
}

}  // namespace hareshore::test

// Peers that have sent heartbeats or answers, for tests of decisions that depend on them.
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

// A peer whose first heartbeat arrived then.
inline peer::PeerStatus peer_with_heartbeat(const peer::ControllerHeartbeat& heartbeat, Seconds received_at) {
    peer::PeerStatus status(peer_address(peer::label_of(heartbeat)));
    status.receive_heartbeat(1, heartbeat, received_at);
    return status;
}

// A peer that has answered a heartbeat of this process sent then, at once.
inline peer::PeerStatus peer_with_response(peer::ControllerHeartbeat answer, Seconds sent_at) {
    answer.request_sent_us = static_cast<uint64_t>(sent_at * 1e6);
    peer::PeerStatus status(peer_address(peer::label_of(answer)));
    status.receive_response(1, answer, sent_at);
    return status;
}

}  // namespace hareshore::test

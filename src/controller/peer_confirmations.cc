#include "controller/peer_confirmations.h"

#include <algorithm>

#include "base/constants.h"

namespace hareshore {

Seconds cancellations_known_until(std::span<const peer::PeerStatus> peers, Seconds since, Seconds now) {
    Seconds known_until = now;
    for (const auto& peer : peers) {
        const auto heartbeat_sent_at = peer.acknowledged_heartbeat_sent_at();
        if (!heartbeat_sent_at || !peer.all_cancellations_known_since(since)) return since;
        known_until = std::min(known_until, *heartbeat_sent_at);
    }
    return std::max(since, known_until);
}

bool no_other_leader(std::span<const peer::PeerStatus> peers, uint64_t fencing_token, Seconds now) {
    return std::all_of(peers.begin(), peers.end(), [&](const peer::PeerStatus& peer) {
        const auto heartbeat_sent_at = peer.acknowledged_heartbeat_sent_at();
        return heartbeat_sent_at && now - *heartbeat_sent_at < constants::kPeerHeartbeatTimeout_s &&
               peer.last_heartbeat().fencing_token <= fencing_token;
    });
}

bool all_peers_upgraded(std::span<const peer::PeerStatus> peers) {
    return std::all_of(peers.begin(), peers.end(), [](const peer::PeerStatus& peer) {
        return peer.record_format() >= peer::kAnnouncedRecordFormat;
    });
}

}  // namespace hareshore

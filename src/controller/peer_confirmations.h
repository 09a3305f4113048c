// What a leader can conclude from peers' heartbeat responses while the store is unreachable.
#pragma once
#include <span>

#include "base/clock.h"
#include "peer/peer_status.h"

namespace hareshore {

// The time up to which this process knows every cancellation that any controller has confirmed to a user,
// given that it knows all those confirmed before `since`. The result lies between `since` and `now`. Its own
// confirmations are known to it at once, so only peers limit the result.
[[nodiscard]] Seconds cancellations_known_until(std::span<const peer::PeerStatus> peers, Seconds since,
                                                Seconds now);

// True if every peer has responded to a heartbeat sent less than kPeerHeartbeatTimeout_s ago and none has
// seen a higher fencing token than `fencing_token`. In that case no other leader can exist.
[[nodiscard]] bool no_other_leader(std::span<const peer::PeerStatus> peers, uint64_t fencing_token,
                                   Seconds now);

// Whether every peer has announced that it reads this version's record format.
[[nodiscard]] bool all_peers_upgraded(std::span<const peer::PeerStatus> peers);

}  // namespace hareshore

// What the peers' answers to heartbeats prove to a leader while the store cannot be asked.
#pragma once
#include <span>

#include "base/clock.h"
#include "peer/peer_status.h"

namespace hareshore {

// Until when all cancellations that any controller confirmed to users are known to this process, given that
// all those confirmed before `since` are. Between `since` and `now`. What this process itself confirms is
// known to it at once.
[[nodiscard]] Seconds cancellations_known_until(std::span<const peer::PeerStatus> peers, Seconds since,
                                                Seconds now);

// Whether every peer has answered a heartbeat sent less than kPeerHeartbeatTimeout_s ago, and none has seen a
// higher fencing token than `fencing_token`: then no other leader can exist.
[[nodiscard]] bool no_other_leader(std::span<const peer::PeerStatus> peers, uint64_t fencing_token,
                                   Seconds now);

// Whether every peer has announced that it reads this version's record format.
[[nodiscard]] bool all_peers_upgraded(std::span<const peer::PeerStatus> peers);

}  // namespace hareshore

// Decides whether a leader should resign because workers cannot reach it.
#pragma once
#include <optional>
#include <span>
#include <string>

#include "base/clock.h"
#include "peer/peer_status.h"

namespace hareshore {

// The state of the leading controller. All times are on the steady clock.
struct ResignationInput {
    Seconds now = 0;
    Seconds loaded_for = 0;                        // time since the leader loaded the records; 0 before
    size_t machines_seen = 0;                      // machines whose heartbeats this leader received
    std::optional<Seconds> last_worker_heartbeat;  // received directly, not relayed by a peer
    std::span<const peer::PeerStatus> peers;
};

// Why the leader should resign.
struct Resignation {
    std::string peer;  // label of a peer that workers reach
};

// Returns a resignation if the leader holds its lease but receives no worker heartbeats while a peer does:
// then the leader is partitioned from the workers. nullopt otherwise.
[[nodiscard]] std::optional<Resignation> decide_resignation(const ResignationInput& input);

}  // namespace hareshore

// Whether a leader should resign because the workers cannot reach it.
#pragma once
#include <optional>
#include <span>
#include <string>

#include "base/clock.h"
#include "peer/peer_status.h"

namespace hareshore {

// Describes a controller that leads. All times are on the steady clock.
struct ResignationInput {
    Seconds now = 0;
    Seconds loaded_for = 0;                        // since the leader has loaded its records; 0 if it has not
    size_t machines_seen = 0;                      // machines that have reported to this leader
    std::optional<Seconds> last_worker_heartbeat;  // that reached this controller directly
    std::span<const peer::PeerStatus> peers;
};

// Why the leader should resign.
struct Resignation {
    std::string peer;  // the label of a peer that workers reach
};

// A leader whom the store confirms but whom no worker reaches, while workers reach a peer, is cut off from
// them. Nothing if there is no such proof.
[[nodiscard]] std::optional<Resignation> decide_resignation(const ResignationInput& input);

}  // namespace hareshore

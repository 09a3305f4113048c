// Readiness of this controller to serve users' requests. The load balancer polls it, and heartbeats report it
// to the peers.
#pragma once
#include <optional>
#include <span>

#include "base/clock.h"
#include "peer/peer_status.h"

namespace hareshore {

// All times are on the steady clock.
struct ReadinessInput {
    Seconds now = 0;
    Seconds started_at = 0;
    std::optional<Seconds> last_store_contact;  // when the store last responded; nullopt if never
    bool records_readable = true;               // false if a newer version's record format is in force
    bool machine_types_known = false;
    std::span<const peer::PeerStatus> peers;
};

enum class Readiness : uint8_t {
    kReady,
    kRecordsUnreadable,           // the stored records are in a newer format than this version reads
    kStarting,                    // machine types or peer heartbeats are still missing
    kStoreReachableFromPeerOnly,  // a peer reaches the store, this controller does not
    kIsolated,                    // neither the store nor any peer is reachable
};

[[nodiscard]] Readiness decide_readiness(const ReadinessInput& input);

}  // namespace hareshore

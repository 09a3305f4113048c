// Whether this controller should be given users' requests. The load balancer asks for it, and the peers are
// told in heartbeats.
#pragma once
#include <optional>
#include <span>

#include "base/clock.h"
#include "peer/peer_status.h"

namespace hareshore {

// All times are on the steady clock.
struct ReadinessInput {
    Seconds now = 0;
    Seconds started_at = 0;                     // when this process started
    std::optional<Seconds> last_store_contact;  // when the store last answered; nothing if it never has
    bool records_readable = true;               // false if a later version's record format is in force
    bool machine_types_known = false;
    std::span<const peer::PeerStatus> peers;
};

enum class Readiness : uint8_t {
    kReady,
    kRecordsUnreadable,   // stored records mean nothing to this version
    kStarting,            // the machine types or the peers' reports are still missing
    kOnlyPeersHaveStore,  // the store does not answer here but answers a peer, which serves users better
    kIsolated,            // neither the store nor any peer is reachable from here
};

[[nodiscard]] Readiness decide_readiness(const ReadinessInput& input);

}  // namespace hareshore

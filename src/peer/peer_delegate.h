// What the connections to the other controllers need of the controller that they belong to.
#pragma once
#include <string>

#include "http/message.h"
#include "peer/frames.h"

namespace hareshore::peer {

// Implemented by the controller. Must outlive the Peers that it is given to.
class PeerDelegate {
  public:
    PeerDelegate() = default;
    PeerDelegate(const PeerDelegate&) = delete;
    PeerDelegate& operator=(const PeerDelegate&) = delete;
    virtual ~PeerDelegate() = default;

    // What this controller reports of itself now; Peers fills in the fields that concern the connections.
    [[nodiscard]] virtual ControllerHeartbeat heartbeat() const = 0;
    // Answers a worker's heartbeat that a peer relayed to this controller.
    [[nodiscard]] virtual Task<Response> handle_relayed_heartbeat(std::string body) = 0;
    // A peer has confirmed to a user that the job is cancelled.
    virtual void cancellation_announced(const std::string& job) = 0;
};

}  // namespace hareshore::peer

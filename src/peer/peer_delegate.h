// Callback interface of Peers to the controller that owns it.
#pragma once
#include <string>

#include "http/message.h"
#include "peer/frames.h"

namespace hareshore::peer {

// Implemented by the controller. Must outlive the Peers object that uses it.
class PeerDelegate {
  public:
    PeerDelegate() = default;
    PeerDelegate(const PeerDelegate&) = delete;
    PeerDelegate& operator=(const PeerDelegate&) = delete;
    virtual ~PeerDelegate() = default;

    // This controller's current state. Peers fills in the fields of the peer protocol itself.
    [[nodiscard]] virtual ControllerHeartbeat heartbeat() const = 0;
    // Handles a worker's heartbeat that a peer relayed to this controller.
    [[nodiscard]] virtual Task<Response> handle_relayed_heartbeat(std::string body) = 0;
    // Called when a peer has confirmed to a user that the job is cancelled.
    virtual void on_cancellation_announced(const std::string& job) = 0;
};

}  // namespace hareshore::peer

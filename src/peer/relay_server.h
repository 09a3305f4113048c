// Answers workers' heartbeats that peers relay to this controller.
#pragma once
#include <memory>

#include "peer/peer_delegate.h"
#include "peer/peer_link.h"

namespace hareshore::peer {

class RelayServer {
  public:
    // `scope` runs the answers and is shared with the connections; it and `delegate` must outlive the server.
    // `routine_limit`: with more routines in the scope, relays are dropped and time out at their sender.
    RelayServer(PeerDelegate& delegate, Scope& scope, size_t routine_limit)
        : delegate_(delegate), scope_(scope), routine_limit_(routine_limit) {}

    // Starts to answer a frame of kind kRelay on the link that it came from.
    void handle(std::shared_ptr<PeerLink> link, Frame frame);

  private:
    Task<void> answer(std::shared_ptr<PeerLink> link, Frame frame);

    PeerDelegate& delegate_;
    Scope& scope_;
    size_t routine_limit_;
};

}  // namespace hareshore::peer

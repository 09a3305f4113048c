// Server side of the relay: handles workers' heartbeats that peers relay to this controller.
#pragma once
#include <memory>

#include "peer/peer_delegate.h"
#include "peer/peer_link.h"

namespace hareshore::peer {

class RelayServer {
  public:
    // `tasks` runs the handlers and is shared with the connections; it and `delegate` must outlive the
    // server. `task_limit`: while more tasks than this run, relays are dropped and time out at the sender.
    RelayServer(PeerDelegate& delegate, TaskGroup& tasks, size_t task_limit)
        : delegate_(delegate), tasks_(tasks), task_limit_(task_limit) {}

    // Starts handling a frame of kind kRelay; the response is sent on the link that the frame arrived on.
    void handle(std::shared_ptr<PeerLink> link, Frame frame);

  private:
    Task<void> respond(std::shared_ptr<PeerLink> link, Frame frame);

    PeerDelegate& delegate_;
    TaskGroup& tasks_;
    size_t task_limit_;
};

}  // namespace hareshore::peer

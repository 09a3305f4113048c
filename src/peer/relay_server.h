// Answers workers' heartbeats that peers relay to this controller.
#pragma once
#include <memory>

#include "peer/peer_delegate.h"
#include "peer/peer_link.h"

namespace hareshore::peer {

class RelayServer {
  public:
    // `tasks` runs the answers and is shared with the connections; it and `delegate` must outlive the server.
    // `task_limit`: while more tasks run than this, relays are dropped and time out at their sender.
    RelayServer(PeerDelegate& delegate, TaskGroup& tasks, size_t task_limit)
        : delegate_(delegate), tasks_(tasks), task_limit_(task_limit) {}

    // Starts to answer a frame of kind kRelay on the link that it came from.
    void handle(std::shared_ptr<PeerLink> link, Frame frame);

  private:
    Task<void> answer(std::shared_ptr<PeerLink> link, Frame frame);

    PeerDelegate& delegate_;
    TaskGroup& tasks_;
    size_t task_limit_;
};

}  // namespace hareshore::peer

// A link between two controllers, for connections that one of them opens.
#pragma once
#include <memory>
#include <string>

#include "http/message.h"
#include "peer/frames.h"

namespace hareshore::test {

struct PeerLink {
    // Listens at `from` and connects to `target`.
    PeerLink(Loop& event_loop, Address from, Address target);

    bool cut = false;  // what is sent waits
    // One of the two is of the version before cancellation notices and record format 2: it neither sends nor
    // takes notices, and states none of what came with them.
    bool old_peer = false;
    Loop& loop;
    Address to;
    FileDescriptor listener;
    TaskGroup scope;

  private:
    Task<void> accept_all();
    Task<void> join(std::shared_ptr<Stream> near);
    Task<void> pump(std::shared_ptr<Stream> from, std::shared_ptr<Stream> into, std::shared_ptr<bool> open);
    Task<void> wait_while_cut();
    // What of these bytes an old peer would send or take.
    static std::string as_old_peer(peer::Reader& reader, std::string_view bytes);
};

}  // namespace hareshore::test

// A proxy for the connections that one controller opens to another. It can block them, or make one side look
// like a previous version.
#pragma once
#include <memory>
#include <string>

#include "http/message.h"
#include "peer/frames.h"

namespace hareshore::test {

struct PeerProxy {
    // Listens at `from` and connects to `target`.
    PeerProxy(Loop& event_loop, Address from, Address target);

    bool blocked = false;  // holds back all bytes until it is unset
    // One side runs the version before cancellation notices and record format 2: it neither sends nor
    // receives notices, and the fields that were added to heartbeats with them are zero.
    bool old_version = false;
    Loop& loop;
    Address to;
    FileDescriptor listener;
    TaskGroup scope;

  private:
    Task<void> accept_connections();
    Task<void> forward_connection(std::shared_ptr<Stream> client);
    Task<void> forward_bytes(std::shared_ptr<Stream> from, std::shared_ptr<Stream> into,
                             std::shared_ptr<bool> open);
    Task<void> wait_while_blocked();
    // Removes from these bytes what the previous version neither sends nor receives.
    static std::string as_old_version(peer::FrameReader& reader, std::string_view bytes);
};

}  // namespace hareshore::test

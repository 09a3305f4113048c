// One connection to a peer, with the frames that wait to be written to it.
#pragma once
#include <memory>
#include <string>
#include <string_view>

#include "http/message.h"
#include "peer/cancellation_announcements.h"

namespace hareshore::peer {

// Shared by the coroutines that read, write and answer on the connection; the last of them closes the socket.
class PeerLink {
  public:
    // `outbox_limit`: bytes that may wait to be written.
    PeerLink(Loop& loop, std::unique_ptr<Stream> stream, size_t outbox_limit)
        : loop_(loop), stream_(std::move(stream)), outbox_limit_(outbox_limit), outbox_changed_(loop) {}

    // Queues a frame. A link whose outbox would exceed its limit is closed instead: its peer does not read,
    // and nothing that waits is worth keeping for later.
    void send(std::string_view frame);
    // Queues a notice of the announcements that this link was not sent before, if there are any.
    void send_new_announcements(const CancellationAnnouncements& announcements);
    [[nodiscard]] bool is_open() const { return open_; }
    // Ends the coroutines of this link at their next turn.
    void close();

    // The next bytes. The peer sends a heartbeat every second, so a silence of kPeerHeartbeatTimeout_s ends
    // in a timeout.
    [[nodiscard]] Task<Stream::Read> read();
    // Writes what is queued until the link is closed. Runs once for each link, and keeps it alive.
    static Task<void> write_queued(std::shared_ptr<PeerLink> link);

  private:
    Loop& loop_;
    std::unique_ptr<Stream> stream_;
    size_t outbox_limit_;
    std::string outbox_;
    uint32_t announcements_sent_ = 0;  // those that were no longer kept included
    bool open_ = true;
    Condition outbox_changed_;  // or the link was closed
};

}  // namespace hareshore::peer

// One connection to a peer, with its queue of outgoing frames.
#pragma once
#include <memory>
#include <string>
#include <string_view>

#include "http/message.h"
#include "peer/cancellation_announcements.h"

namespace hareshore::peer {

// Shared by the coroutines that read, write and respond on the connection. The socket is closed when the last
// of them releases the link.
class PeerLink {
  public:
    // `outbox_limit`: maximum number of queued bytes.
    PeerLink(Loop& loop, std::unique_ptr<Stream> stream, size_t outbox_limit)
        : loop_(loop), stream_(std::move(stream)), outbox_limit_(outbox_limit), outbox_changed_(loop) {}

    // Queues a frame. If the outbox would exceed its limit, closes the link instead: the peer has stopped
    // reading, and the queued frames are worthless once they are delayed.
    void send(std::string_view frame);
    // Queues a notice of the announcements not yet sent on this link, if there are any.
    void send_new_announcements(const CancellationAnnouncements& announcements);
    [[nodiscard]] bool is_open() const { return open_; }
    // The coroutines of this link end when they next run.
    void close();

    // Reads the next bytes. Times out after kPeerHeartbeatTimeout_s, since a live peer sends a heartbeat
    // every second.
    [[nodiscard]] Task<Stream::Read> read();
    // Writes queued frames until the link is closed. Run it once per link; it keeps the link alive.
    static Task<void> write_queued(std::shared_ptr<PeerLink> link);

  private:
    Loop& loop_;
    std::unique_ptr<Stream> stream_;
    size_t outbox_limit_;
    std::string outbox_;
    uint32_t announcements_sent_ = 0;  // including those no longer kept
    bool open_ = true;
    Condition outbox_changed_;  // also notified when the link is closed
};

}  // namespace hareshore::peer

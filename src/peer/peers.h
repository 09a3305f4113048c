// Connections to the other controllers. Each controller connects to every peer and accepts connections from
// peers. They carry heartbeats, cancellation notices and relayed worker heartbeats.
#pragma once
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "config/config.h"
#include "peer/cancellation_announcements.h"
#include "peer/frames.h"
#include "peer/peer_delegate.h"
#include "peer/peer_link.h"
#include "peer/peer_status.h"
#include "peer/relay_client.h"
#include "peer/relay_server.h"

namespace hareshore::peer {

// Connects the components of this folder. `loop`, `config` and `delegate` must outlive it. Before destroying
// it, call stop() and run the loop until its coroutines have unwound.
class Peers {
  public:
    // Starts listening and connecting. Throws std::system_error if it cannot listen on the address.
    Peers(Loop& loop, const Config& config, PeerDelegate& delegate);
    // Cancels all coroutines.
    void stop() { tasks_.cancel(); }

    // One for each configured peer, in the order of the configuration.
    [[nodiscard]] std::span<const PeerStatus> statuses() const { return statuses_; }
    // Relays the body of a worker's heartbeat to the peer with this label.
    [[nodiscard]] Task<RelayResult> relay(const std::string& label, std::string body);
    // Queues a notice to the peers. Call before confirming to a user that the job is cancelled.
    void announce_cancellation(const std::string& job) { announcements_.add(job); }

  private:
    Task<void> accept_connections();
    Task<void> serve_connection(int fd);
    Task<void> dial(size_t peer);
    Task<void> send_heartbeats(std::shared_ptr<PeerLink> link);
    Task<void> read_frames(std::shared_ptr<PeerLink> link);

    // kMalformed: the payload is malformed and the connection must be closed.
    enum class FrameOutcome : uint8_t { kHandled, kMalformed };
    FrameOutcome handle_frame(const std::shared_ptr<PeerLink>& link, Frame frame);
    FrameOutcome handle_heartbeat(PeerLink& link, const Frame& frame);
    FrameOutcome handle_cancellation_notice(const Frame& frame);
    void update_status(const Frame& frame, const ControllerHeartbeat& heartbeat);

    [[nodiscard]] std::shared_ptr<PeerLink> make_link(std::unique_ptr<Stream> stream);
    // This controller's heartbeat, or its response to a heartbeat sent at `request_sent_us` on the
    // requester's clock.
    [[nodiscard]] ControllerHeartbeat make_heartbeat(uint64_t request_sent_us) const;

    Loop& loop_;
    PeerDelegate& delegate_;
    const uint64_t incarnation_;  // of this process
    const size_t task_limit_;     // maximum number of concurrent connections and relays
    const size_t outbox_limit_;   // maximum number of queued bytes per link
    std::vector<PeerStatus> statuses_;
    std::vector<std::shared_ptr<PeerLink>> dialed_links_;  // by index in statuses_; null while not connected
    uint32_t next_heartbeat_id_ = 1;
    CancellationAnnouncements announcements_;
    FileDescriptor listener_;
    TaskGroup tasks_;
    RelayClient relay_client_;
    RelayServer relay_server_;
};

}  // namespace hareshore::peer

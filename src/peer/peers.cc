#include "peer/peers.h"

#include <unistd.h>

#include <algorithm>
#include <random>

#include "base/constants.h"
#include "base/log.h"

namespace hareshore::peer {

namespace {

uint64_t generate_incarnation() {
    std::random_device source;
    return (static_cast<uint64_t>(source()) << 32) | source();
}

}  // namespace

Peers::Peers(Loop& loop, const Config& config, PeerDelegate& delegate)
    : loop_(loop),
      delegate_(delegate),
      incarnation_(generate_incarnation()),
      task_limit_(std::max(constants::kMinConcurrentPeerRequests, config.sockets)),
      outbox_limit_(std::max(constants::kMinPeerSendQueueBytes,
                             config.sockets * constants::kPeerSendQueueBytesPerSocket)),
      statuses_(config.peers.begin(), config.peers.end()),
      dialed_links_(config.peers.size()),
      announcements_(incarnation_),
      listener_(loop, listen_on(config.peer_listen)),
      tasks_(loop),
      relay_client_(loop, incarnation_),
      relay_server_(delegate, tasks_, task_limit_) {
    tasks_.spawn(accept_connections(), "peer accept", Priority::kUrgent);
    for (size_t peer = 0; peer < statuses_.size(); ++peer)
        tasks_.spawn(dial(peer), "peer link", Priority::kUrgent);
}

Task<RelayResult> Peers::relay(const std::string& label, std::string body) {
    const auto status = std::find_if(statuses_.begin(), statuses_.end(),
                                     [&](const PeerStatus& peer) { return peer.label() == label; });
    std::shared_ptr<PeerLink> link;
    if (status != statuses_.end()) link = dialed_links_[static_cast<size_t>(status - statuses_.begin())];
    // Not a coroutine itself: its coroutine frame would cost one more allocation per relay.
    return relay_client_.relay(std::move(link), std::move(body));
}

Task<void> Peers::accept_connections() {
    while (true) {
        const auto fd = accept_connection(listener_.fd());
        if (!fd && fd.error() == AcceptError::kNoneWaiting) {
            co_await loop_.readable(listener_, -1);
        } else if (!fd) {
            co_await loop_.sleep(constants::kAcceptRetryPause_s);
        } else if (tasks_.size() > task_limit_) {
            close(*fd);
        } else {
            tasks_.spawn(serve_connection(*fd), "peer connection", Priority::kUrgent);
        }
    }
}

Task<void> Peers::serve_connection(int fd) {
    const auto link = make_link(std::make_unique<Stream>(loop_, fd));
    tasks_.spawn(PeerLink::write_queued(link), "peer writer", Priority::kUrgent);
    co_await read_frames(link);
}

Task<void> Peers::dial(size_t peer) {
    while (true) {
        const Seconds deadline = loop_.now() + constants::kConnectTimeout_s;
        auto stream = co_await connect_to(loop_, statuses_[peer].address().addr, deadline);
        if (stream) {
            const auto link = make_link(std::move(stream));
            dialed_links_[peer] = link;
            tasks_.spawn(PeerLink::write_queued(link), "peer writer", Priority::kUrgent);
            tasks_.spawn(read_frames(link), "peer reader", Priority::kUrgent);
            co_await send_heartbeats(link);
            dialed_links_[peer] = nullptr;
        }
        co_await loop_.sleep(constants::kPeerHeartbeatInterval_s);
    }
}

Task<void> Peers::send_heartbeats(std::shared_ptr<PeerLink> link) {
    while (link->is_open()) {
        const auto heartbeat = make_heartbeat(static_cast<uint64_t>(loop_.now() * 1e6));
        link->send(encode_frame(FrameKind::kHeartbeat, next_heartbeat_id_++, incarnation_, heartbeat));
        co_await loop_.sleep(constants::kPeerHeartbeatInterval_s);
    }
}

Task<void> Peers::read_frames(std::shared_ptr<PeerLink> link) {
    FrameReader reader;
    while (link->is_open()) {
        const Stream::Read chunk = co_await link->read();
        if (!chunk.ok()) break;
        reader.append(chunk.bytes);
        while (auto frame = reader.next()) {
            if (handle_frame(link, std::move(*frame)) == FrameOutcome::kMalformed) {
                link->close();
                break;
            }
        }
        if (reader.malformed()) {
            log::info("peer_connection_closed", {{"reason", "not_the_frame_protocol"}});
            break;
        }
    }
    link->close();
}

Peers::FrameOutcome Peers::handle_frame(const std::shared_ptr<PeerLink>& link, Frame frame) {
    switch (frame.kind) {
        case FrameKind::kHeartbeat:
        case FrameKind::kHeartbeatResponse:
            return handle_heartbeat(*link, frame);
        case FrameKind::kCancellationNotice:
            return handle_cancellation_notice(frame);
        case FrameKind::kRelay:
            relay_server_.handle(link, std::move(frame));
            return FrameOutcome::kHandled;
        case FrameKind::kRelayResponse:
            relay_client_.receive_response(frame);
            return FrameOutcome::kHandled;
    }
    return FrameOutcome::kMalformed;  // unreachable: FrameReader rejects unknown kinds
}

Peers::FrameOutcome Peers::handle_heartbeat(PeerLink& link, const Frame& frame) {
    const auto heartbeat = decode_controller_heartbeat(frame.payload);
    if (!heartbeat) return FrameOutcome::kMalformed;
    update_status(frame, *heartbeat);
    if (frame.kind == FrameKind::kHeartbeatResponse) return FrameOutcome::kHandled;
    if (announces_cancellations(*heartbeat)) link.send_new_announcements(announcements_);
    const auto response = make_heartbeat(heartbeat->request_sent_us);
    link.send(encode_frame(FrameKind::kHeartbeatResponse, frame.id, frame.incarnation, response));
    return FrameOutcome::kHandled;
}

Peers::FrameOutcome Peers::handle_cancellation_notice(const Frame& frame) {
    const auto notice = decode_cancellation_notice(frame.payload);
    if (!notice) return FrameOutcome::kMalformed;
    for (auto& status : statuses_)
        for (const auto& job : status.receive_cancellations(*notice))
            delegate_.on_cancellation_announced(job);
    return FrameOutcome::kHandled;
}

void Peers::update_status(const Frame& frame, const ControllerHeartbeat& heartbeat) {
    const bool is_response = frame.kind == FrameKind::kHeartbeatResponse;
    // Ignore responses to an earlier incarnation of this controller or to a heartbeat that was never sent.
    if (is_response && (frame.incarnation != incarnation_ || frame.id >= next_heartbeat_id_)) return;
    const std::string label = label_of(heartbeat);
    for (auto& status : statuses_) {
        if (status.label() != label) continue;
        if (is_response)
            status.receive_response(frame.id, heartbeat, loop_.now());
        else
            status.receive_heartbeat(frame.id, heartbeat, loop_.now());
    }
}

std::shared_ptr<PeerLink> Peers::make_link(std::unique_ptr<Stream> stream) {
    return std::make_shared<PeerLink>(loop_, std::move(stream), outbox_limit_);
}

ControllerHeartbeat Peers::make_heartbeat(uint64_t request_sent_us) const {
    ControllerHeartbeat heartbeat = delegate_.heartbeat();
    heartbeat.incarnation = incarnation_;
    heartbeat.request_sent_us = request_sent_us;
    if (has_extension(heartbeat)) {
        heartbeat.record_format = kAnnouncedRecordFormat;
        heartbeat.cancellations_announced = announcements_.count();
    }
    return heartbeat;
}

}  // namespace hareshore::peer

#include "scenario/peer_proxy.h"

namespace hareshore::test {

namespace {

constexpr Seconds kBlockedCheckInterval_s = 0.1;
constexpr Seconds kConnectTimeout_s = 1;
constexpr Seconds kWriteTimeout_s = 1;
constexpr Seconds kReadTimeout_s = 0.5;  // bounds how late one direction notices that the other has closed

}  // namespace

PeerProxy::PeerProxy(Loop& event_loop, Address from, Address target)
    : loop(event_loop), to(target), listener(loop, listen_on(from)), scope(loop) {
    scope.spawn(accept_connections(), "peer proxy");
}

Task<void> PeerProxy::accept_connections() {
    while (true) {
        int fd = accept_connection(listener.fd()).value_or(-1);
        if (fd < 0) {
            co_await loop.readable(listener, -1);
            continue;
        }
        auto client = std::make_shared<Stream>(loop, fd);
        scope.spawn(forward_connection(client), "peer proxy connection");
    }
}

Task<void> PeerProxy::wait_while_blocked() {
    while (blocked) co_await loop.sleep(kBlockedCheckInterval_s);
}

Task<void> PeerProxy::forward_connection(std::shared_ptr<Stream> client) {
    co_await wait_while_blocked();
    std::shared_ptr<Stream> server = co_await connect_to(loop, to, loop.now() + kConnectTimeout_s);
    if (!server) co_return;
    auto open = std::make_shared<bool>(true);
    scope.spawn(forward_bytes(client, server, open), "peer proxy to server");
    co_await forward_bytes(server, client, open);
}

Task<void> PeerProxy::forward_bytes(std::shared_ptr<Stream> from, std::shared_ptr<Stream> into,
                                    std::shared_ptr<bool> open) {
    peer::FrameReader reader;
    while (*open) {
        Stream::Read got = co_await from->read(loop.now() + kReadTimeout_s);
        if (got.outcome == Stream::Read::Outcome::kTimeout) continue;
        std::string bytes(got.bytes);  // copied before the next wait, which may invalidate them
        co_await wait_while_blocked();
        if (!got.ok()) break;
        if (old_version) bytes = as_old_version(reader, bytes);
        if (!bytes.empty() && !co_await into->write(bytes, loop.now() + kWriteTimeout_s)) break;
    }
    *open = false;
}

std::string PeerProxy::as_old_version(peer::FrameReader& reader, std::string_view bytes) {
    std::string out;
    reader.append(bytes);
    while (auto frame = reader.next()) {
        if (frame->kind == peer::FrameKind::kCancellationNotice) continue;
        if (frame->kind == peer::FrameKind::kHeartbeat ||
            frame->kind == peer::FrameKind::kHeartbeatResponse) {
            auto heartbeat = peer::decode_controller_heartbeat(frame->payload);
            heartbeat->record_format = 0;
            heartbeat->cancellations_announced = 0;
            out += peer::encode_frame(frame->kind, frame->id, frame->incarnation, *heartbeat);
        } else {
            out += peer::encode_frame(frame->kind, frame->id, frame->incarnation, frame->payload);
        }
    }
    return out;
}

}  // namespace hareshore::test

#include "scenario/peer_link.h"

namespace hareshore::test {

namespace {

constexpr Seconds kCutCheck_s = 0.1;
constexpr Seconds kConnectTimeout_s = 1;
constexpr Seconds kWriteTimeout_s = 1;
constexpr Seconds kReadStep_s = 0.5;  // how soon one direction notices that the other has ended

}  // namespace

PeerLink::PeerLink(Loop& event_loop, Address from, Address target)
    : loop(event_loop), to(target), listener(loop, listen_on(from)), scope(loop) {
    scope.spawn(accept_all(), "peer link");
}

Task<void> PeerLink::accept_all() {
    while (true) {
        int fd = accept_connection(listener.fd()).value_or(-1);
        if (fd < 0) {
            co_await loop.readable(listener, -1);
            continue;
        }
        auto near = std::make_shared<Stream>(loop, fd);
        scope.spawn(join(near), "peer link's connection");
    }
}

Task<void> PeerLink::wait_while_cut() {
    while (cut) co_await loop.sleep(kCutCheck_s);
}

Task<void> PeerLink::join(std::shared_ptr<Stream> near) {
    co_await wait_while_cut();
    std::shared_ptr<Stream> far = co_await connect_to(loop, to, loop.now() + kConnectTimeout_s);
    if (!far) co_return;
    auto open = std::make_shared<bool>(true);
    scope.spawn(pump(near, far, open), "peer link's way out");
    co_await pump(far, near, open);
}

Task<void> PeerLink::pump(std::shared_ptr<Stream> from, std::shared_ptr<Stream> into,
                          std::shared_ptr<bool> open) {
    peer::FrameReader reader;
    while (*open) {
        Stream::Read got = co_await from->read(loop.now() + kReadStep_s);
        if (got.outcome == Stream::Read::Outcome::kTimeout) continue;
        std::string bytes(got.bytes);  // before anything is waited for
        co_await wait_while_cut();
        if (!got.ok()) break;
        if (old_peer) bytes = as_old_peer(reader, bytes);
        if (!bytes.empty() && !co_await into->write(bytes, loop.now() + kWriteTimeout_s)) break;
    }
    *open = false;
}

std::string PeerLink::as_old_peer(peer::FrameReader& reader, std::string_view bytes) {
    std::string out;
    reader.feed(bytes);
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

#include "peer/peer_link.h"

#include <utility>

#include "base/constants.h"

namespace hareshore::peer {

void PeerLink::send(std::string_view frame) {
    if (!open_ || outbox_.size() + frame.size() > outbox_limit_) {
        close();
        return;
    }
    outbox_ += frame;
    outbox_changed_.notify();
}

void PeerLink::send_new_announcements(const CancellationAnnouncements& announcements) {
    const auto notice = announcements.notice_after(announcements_sent_);
    if (!notice) return;
    announcements_sent_ = announcements.count();
    send(encode_frame(FrameKind::kCancellationNotice, kNoRequest, notice->incarnation,
                      encode_cancellation_notice(*notice)));
}

void PeerLink::close() {
    open_ = false;
    outbox_changed_.notify();
}

Task<Stream::Read> PeerLink::read() {
    return stream_->read(loop_.now() + constants::kPeerHeartbeatTimeout_s);
}

Task<void> PeerLink::write_queued(std::shared_ptr<PeerLink> link) {
    while (link->open_) {
        if (link->outbox_.empty()) {
            co_await link->loop_.wait(link->outbox_changed_, -1);
            continue;
        }
        const std::string bytes = std::exchange(link->outbox_, {});
        const Seconds deadline = link->loop_.now() + constants::kPeerHeartbeatTimeout_s;
        if (!co_await link->stream_->write(bytes, deadline)) link->close();
    }
}

}  // namespace hareshore::peer

#include "peer/peer_status.h"

#include <algorithm>

#include "base/constants.h"

namespace hareshore::peer {

void PeerStatus::receive_heartbeat(uint32_t heartbeat_id, const ControllerHeartbeat& heartbeat, Seconds now) {
    if (heartbeat.incarnation == incarnation_) {
        if (heartbeat_id <= last_heartbeat_id_) return;
    } else if (last_response_at_ && now - *last_response_at_ < constants::kPeerHeartbeatTimeout_s) {
        // Another incarnation is responding: this is a delayed message of a process that has ended.
        return;
    }
    last_heartbeat_id_ = heartbeat_id;
    apply_heartbeat(heartbeat, now);
}

void PeerStatus::receive_response(uint32_t heartbeat_id, const ControllerHeartbeat& response, Seconds now) {
    if (heartbeat_id <= last_acknowledged_id_) return;
    last_acknowledged_id_ = heartbeat_id;
    if (response.incarnation != incarnation_) last_heartbeat_id_ = 0;
    acknowledged_heartbeat_sent_at_ = static_cast<double>(response.request_sent_us) / 1e6;
    last_response_at_ = now;
    update_cancellations(response, now);
    apply_heartbeat(response, now);
}

void PeerStatus::apply_heartbeat(const ControllerHeartbeat& heartbeat, Seconds now) {
    if (has_extension(heartbeat)) record_format_ = std::max(record_format_, heartbeat.record_format);
    incarnation_ = heartbeat.incarnation;
    last_received_at_ = now;
    last_heartbeat_ = heartbeat;
}

void PeerStatus::update_cancellations(const ControllerHeartbeat& response, Seconds now) {
    // Computed from the response itself: combined with the value of a later unsolicited heartbeat, the
    // response would seem to cover a longer time than it does.
    none_confirmed_since_ =
        now - response.since_last_cancellation_ms / 1000.0 * (1 - constants::kClockDriftRate);
    if (!announces_cancellations(response)) {
        all_received_since_.reset();
        return;
    }
    const bool nothing_missing = all_received_since_ && response.incarnation == responding_incarnation_ &&
                                 response.cancellations_announced == announcements_received_;
    if (nothing_missing) return;
    // A new incarnation, or a notice was lost: the interval of complete knowledge restarts now.
    all_received_since_ = now;
    announcements_received_ = response.cancellations_announced;
    responding_incarnation_ = response.incarnation;
}

std::span<const std::string> PeerStatus::receive_cancellations(const CancellationNotice& notice) {
    if (!all_received_since_ || notice.incarnation != responding_incarnation_) return {};
    // Earlier cancellations are missing; the count in the following response will reveal that.
    if (notice.first_index > announcements_received_) return {};
    const size_t received_before = announcements_received_ - notice.first_index;
    if (received_before >= notice.jobs.size()) return {};
    const auto received_now = std::span(notice.jobs).subspan(received_before);
    announcements_received_ += static_cast<uint32_t>(received_now.size());
    return received_now;
}

bool PeerStatus::is_present(Seconds now) const {
    return last_received_at_ && now - *last_received_at_ < constants::kPeerHeartbeatTimeout_s;
}

std::optional<Seconds> PeerStatus::store_age() const {
    if (last_heartbeat_.store_age_ms == kNoStoreContact) return std::nullopt;
    return last_heartbeat_.store_age_ms / 1000.0;
}

bool PeerStatus::all_cancellations_known_since(Seconds since) const {
    return (none_confirmed_since_ && *none_confirmed_since_ <= since) ||
           (all_received_since_ && *all_received_since_ <= since);
}

}  // namespace hareshore::peer

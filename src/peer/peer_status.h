// What one peer has reported of itself. Decides which of its messages count; does no I/O.
//
// Messages may be delivered late or twice, by connections that broke long ago and for processes that have
// ended. Such copies must not show a peer that is gone as present, or as the leader.
#pragma once
#include <optional>
#include <span>
#include <string>

#include "base/clock.h"
#include "config/config.h"
#include "peer/frames.h"

namespace hareshore::peer {

// All times are on this process's steady clock.
class PeerStatus {
  public:
    explicit PeerStatus(PeerAddress address) : address_(std::move(address)) {}

    // Takes in a heartbeat that the peer sent by itself. It counts if it is newer than the last one of the
    // process that the peer's answers come from. `heartbeat_id` increases within the peer's process.
    void receive_heartbeat(uint32_t heartbeat_id, const ControllerHeartbeat& heartbeat, Seconds now);
    // Takes in the answer to this process's heartbeat `heartbeat_id`. It counts once, and not after the
    // answer to a later one.
    void receive_response(uint32_t heartbeat_id, const ControllerHeartbeat& answer, Seconds now);
    // Takes in a notice, if it comes from this peer's answering process. Returns its jobs that were not
    // received before; they point into `notice`.
    [[nodiscard]] std::span<const std::string> receive_cancellations(const CancellationNotice& notice);

    [[nodiscard]] const PeerAddress& address() const { return address_; }
    [[nodiscard]] const std::string& label() const { return address_.label; }
    // Of the heartbeats and answers that counted the last one; all zeros before the first.
    [[nodiscard]] const ControllerHeartbeat& last_heartbeat() const { return last_heartbeat_; }
    // When it was received.
    [[nodiscard]] std::optional<Seconds> last_received_at() const { return last_received_at_; }
    // When this process sent the newest heartbeat that the peer has answered.
    [[nodiscard]] std::optional<Seconds> acknowledged_heartbeat_sent_at() const {
        return answered_request_sent_at_;
    }
    // The newest record format that the peer has ever announced; no peer returns to an older version.
    [[nodiscard]] uint8_t record_format() const { return record_format_; }
    // Whether the peer was heard of less than kPeerHeartbeatTimeout_s ago.
    [[nodiscard]] bool is_present(Seconds now) const;
    // How long before its last heartbeat the peer was served by the store; nothing if never.
    [[nodiscard]] std::optional<Seconds> store_age() const;
    // Whether all cancellations that the peer confirmed to users from `since` until
    // acknowledged_heartbeat_sent_at() are known here. True only once an answer has counted.
    [[nodiscard]] bool all_cancellations_known_since(Seconds since) const;

  private:
    void take_in(const ControllerHeartbeat& heartbeat, Seconds now);
    void update_cancellations(const ControllerHeartbeat& answer, Seconds now);

    PeerAddress address_;
    std::optional<Seconds> last_received_at_;
    ControllerHeartbeat last_heartbeat_{};
    uint64_t incarnation_ = 0;        // of the peer's process, from the last message that counted
    uint32_t last_heartbeat_id_ = 0;  // of the heartbeats that this incarnation sent by itself
    uint32_t last_answered_id_ = 0;   // of this process's heartbeats
    std::optional<Seconds> last_answer_at_;
    std::optional<Seconds> answered_request_sent_at_;
    uint8_t record_format_ = 0;

    // What the peer's answers show of cancellations. Its own heartbeats carry the same fields, but their age
    // is unknown, and they overtake the notices that are sent ahead of an answer.
    //
    // From then to the last answer the peer confirmed none. Also known of versions that announce none.
    std::optional<Seconds> none_confirmed_since_;
    // From then to the last answer all that the peer confirmed were received here.
    std::optional<Seconds> all_received_since_;
    uint64_t answering_incarnation_ = 0;   // of the last answer; incarnation_ may be newer
    uint32_t announcements_received_ = 0;  // of that incarnation; those before all_received_since_ included
};

}  // namespace hareshore::peer

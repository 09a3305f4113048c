// State of one peer as reported in its messages. Decides which messages to accept; does no I/O.
//
// Messages may be delayed or duplicated, arrive from connections that broke long ago, and come from processes
// that have ended. Such messages must not make a peer that has failed appear as present or as the leader.
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

    // Processes a heartbeat that the peer sent unsolicited. It is accepted if it is newer than the last one
    // of the same incarnation, and if no other incarnation has responded to this process recently.
    // `heartbeat_id` increases within an incarnation of the peer.
    void receive_heartbeat(uint32_t heartbeat_id, const ControllerHeartbeat& heartbeat, Seconds now);
    // Processes the response to this process's heartbeat `heartbeat_id`. Duplicates, and responses that
    // arrive after the response to a later heartbeat, are ignored.
    void receive_response(uint32_t heartbeat_id, const ControllerHeartbeat& response, Seconds now);
    // Processes a notice if it comes from the incarnation that last responded. Returns its jobs that were not
    // received before, as a view into `notice`.
    [[nodiscard]] std::span<const std::string> receive_cancellations(const CancellationNotice& notice);

    [[nodiscard]] const PeerAddress& address() const { return address_; }
    [[nodiscard]] const std::string& label() const { return address_.label; }
    // The last accepted heartbeat or response; all zeros before the first.
    [[nodiscard]] const ControllerHeartbeat& last_heartbeat() const { return last_heartbeat_; }
    // When it was received.
    [[nodiscard]] std::optional<Seconds> last_received_at() const { return last_received_at_; }
    // When this process sent the newest heartbeat that the peer has responded to.
    [[nodiscard]] std::optional<Seconds> acknowledged_heartbeat_sent_at() const {
        return acknowledged_heartbeat_sent_at_;
    }
    // The newest record format that the peer has ever announced; peers are never downgraded.
    [[nodiscard]] uint8_t record_format() const { return record_format_; }
    // Whether a message of the peer was accepted less than kPeerHeartbeatTimeout_s ago.
    [[nodiscard]] bool is_present(Seconds now) const;
    // Time between the store's last response to the peer and the peer's last heartbeat; nullopt if the store
    // never responded to it.
    [[nodiscard]] std::optional<Seconds> store_age() const;
    // Whether all cancellations that the peer confirmed to users from `since` until
    // acknowledged_heartbeat_sent_at() are known here. False until a response has been accepted.
    [[nodiscard]] bool all_cancellations_known_since(Seconds since) const;

  private:
    void apply_heartbeat(const ControllerHeartbeat& heartbeat, Seconds now);
    void update_cancellations(const ControllerHeartbeat& response, Seconds now);

    PeerAddress address_;
    std::optional<Seconds> last_received_at_;
    ControllerHeartbeat last_heartbeat_{};
    uint64_t incarnation_ = 0;           // of the peer's process, from the last accepted message
    uint32_t last_heartbeat_id_ = 0;     // of the unsolicited heartbeats of this incarnation
    uint32_t last_acknowledged_id_ = 0;  // id of this process's heartbeat
    std::optional<Seconds> last_response_at_;
    std::optional<Seconds> acknowledged_heartbeat_sent_at_;
    uint8_t record_format_ = 0;

    // Knowledge about the peer's cancellations, from its responses only. Unsolicited heartbeats carry the
    // same fields, but their age is unknown, and they can overtake the notices that are sent before a
    // response.
    //
    // From this time until the last response the peer confirmed no cancellation. Also set for versions that
    // do not announce cancellations.
    std::optional<Seconds> none_confirmed_since_;
    // Every cancellation that the peer confirmed from this time until the last response was received here.
    std::optional<Seconds> all_received_since_;
    uint64_t responding_incarnation_ = 0;  // of the last response; incarnation_ may be newer
    uint32_t announcements_received_ = 0;  // of that incarnation, including those before all_received_since_
};

}  // namespace hareshore::peer

#include "peer/relay_client.h"

#include "base/constants.h"

namespace hareshore::peer {

Task<RelayResult> RelayClient::relay(std::shared_ptr<PeerLink> link, std::string body) {
    if (!link || !link->is_open()) co_return tl::unexpected(RelayError::kNotConnected);
    const uint32_t id = next_id_++;
    PendingRelay relay(loop_);
    pending_[id] = &relay;
    // Removes the entry also if the coroutine is cancelled while it waits.
    struct RemovePending {
        std::unordered_map<uint32_t, PendingRelay*>& pending;
        uint32_t id;
        ~RemovePending() { pending.erase(id); }
    } remove_pending{pending_, id};
    link->send(encode_frame(FrameKind::kRelay, id, incarnation_, body));
    link.reset();  // do not keep the socket of a closed connection open while waiting
    const Seconds deadline = loop_.now() + constants::kRelayTimeout_s;
    while (!relay.response)
        if (co_await loop_.wait(relay.completed, deadline) == WakeReason::kTimeout) break;
    if (!relay.response) co_return tl::unexpected(RelayError::kTimedOut);
    co_return std::move(*relay.response);
}

void RelayClient::receive_response(const Frame& frame) {
    // The response to a relay of an earlier incarnation would give one worker the commands of another.
    if (frame.incarnation != incarnation_) return;
    const auto pending = pending_.find(frame.id);
    if (pending == pending_.end()) return;  // the relay has timed out
    auto response = decode_relay_response(frame.payload);
    if (!response) return;
    pending->second->response = std::move(*response);
    pending->second->completed.notify();
}

}  // namespace hareshore::peer

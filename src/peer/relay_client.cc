#include "peer/relay_client.h"

#include "base/constants.h"

namespace hareshore::peer {

Task<RelayResult> RelayClient::relay(std::shared_ptr<PeerLink> link, std::string body) {
    if (!link || !link->is_open()) co_return tl::unexpected(RelayError::kNotConnected);
    const uint32_t id = next_id_++;
    PendingRelay relay(loop_);
    pending_[id] = &relay;
    // Also when the coroutine is cancelled while it waits.
    struct RemovePending {
        std::unordered_map<uint32_t, PendingRelay*>& pending;
        uint32_t id;
        ~RemovePending() { pending.erase(id); }
    } remove_pending{pending_, id};
    link->send(encode_frame(FrameKind::kRelay, id, incarnation_, body));
    link.reset();  // while this waits, it does not keep a closed connection's socket
    const Seconds until = loop_.now() + constants::kRelayTimeout_s;
    while (!relay.answer)
        if (co_await loop_.wait(relay.answered, until) == WakeReason::kTimeout) break;
    if (!relay.answer) co_return tl::unexpected(RelayError::kTimedOut);
    co_return std::move(*relay.answer);
}

void RelayClient::receive_response(const Frame& frame) {
    // An answer to an earlier process's relay would give one worker the commands of another.
    if (frame.incarnation != incarnation_) return;
    const auto found = pending_.find(frame.id);
    if (found == pending_.end()) return;  // its relay has timed out
    auto answer = decode_relay_response(frame.payload);
    if (!answer) return;
    found->second->answer = std::move(*answer);
    found->second->answered.notify();
}

}  // namespace hareshore::peer

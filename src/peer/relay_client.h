// Client side of the relay of workers' heartbeats to the leader over a peer connection.
#pragma once
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <unordered_map>

#include "peer/frames.h"
#include "peer/peer_link.h"

namespace hareshore::peer {

// Why a relay has no response. After kTimedOut the leader may still have handled the heartbeat.
enum class RelayError : uint8_t { kNotConnected, kTimedOut };
using RelayResult = tl::expected<RelayResponse, RelayError>;

class RelayClient {
  public:
    // `incarnation`: of this process.
    RelayClient(Loop& loop, uint64_t incarnation) : loop_(loop), incarnation_(incarnation) {}

    // Sends the body of a worker's heartbeat and waits up to kRelayTimeout_s for the response. If `link` is
    // null or closed, the result is kNotConnected. The client must outlive the task.
    [[nodiscard]] Task<RelayResult> relay(std::shared_ptr<PeerLink> link, std::string body);
    // Processes a frame of kind kRelayResponse. Ignored if it is malformed or belongs to no pending relay.
    void receive_response(const Frame& frame);

  private:
    struct PendingRelay {
        explicit PendingRelay(Loop& loop) : completed(loop) {}
        std::optional<RelayResponse> response;
        Condition completed;
    };

    Loop& loop_;
    uint64_t incarnation_;
    uint32_t next_id_ = 1;
    std::unordered_map<uint32_t, PendingRelay*> pending_;  // by frame id; each owned by its relay() coroutine
};

}  // namespace hareshore::peer

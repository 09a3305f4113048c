// Why a controller stops leading.
#pragma once
#include <cstdint>
#include <string_view>

namespace hareshore {

enum class LossReason : uint8_t {
    kLaterTermSeenByWorker,  // a worker reported a higher fencing token
    kLaterTermSeenByPeer,    // a peer's heartbeat carried a higher fencing token
    kLeadershipKeyChanged,   // a transaction's condition on the leadership key failed
    kLeaseExpired,           // the store has the lease no more
    kResigned,               // on this controller's own decision
    kNewerRecordFormat,      // the records are of a format that this version does not read
};

// The reason's short code in the log.
std::string_view loss_reason_code(LossReason reason);

}  // namespace hareshore

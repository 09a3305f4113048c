// Why a controller stops leading.
#pragma once
#include <cstdint>
#include <string_view>

namespace hareshore {

enum class LossReason : uint8_t {
    kLaterTermSeenByWorker,  // a worker's heartbeat carried a higher fencing token
    kLaterTermSeenByPeer,    // a peer's heartbeat carried a higher fencing token
    kLeadershipKeyChanged,   // a transaction's condition on the leadership key failed
    kLeaseExpired,           // the store no longer has the lease
    kResigned,               // this controller gave up the leadership by itself
    kNewerRecordFormat,      // the records have a format that this version does not read
};

// The reason's code in the log.
std::string_view loss_reason_code(LossReason reason);

}  // namespace hareshore

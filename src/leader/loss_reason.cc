#include "leader/loss_reason.h"

namespace hareshore {

std::string_view loss_reason_code(LossReason reason) {
    switch (reason) {
        case LossReason::kLaterTermSeenByWorker:
            return "later_term_seen_by_worker";
        case LossReason::kLaterTermSeenByPeer:
            return "later_term_seen_by_peer";
        case LossReason::kLeadershipKeyChanged:
            return "leadership_key_changed";
        case LossReason::kLeaseExpired:
            return "lease_expired";
        case LossReason::kResigned:
            return "resigned";
        case LossReason::kNewerRecordFormat:
            return "newer_record_format";
    }
    return "unknown";
}

}  // namespace hareshore

// Why and since when a job's tasks wait, and preemption for image locality on behalf of the job.
#pragma once
#include <cstdint>
#include <optional>

#include "base/clock.h"
#include "base/constants.h"

namespace hareshore {

// Why a job's tasks wait; shown to operators.
enum class WaitReason : uint8_t {
    kNone,
    kNew,
    kTeamLimit,
    kNoRoom,
    kGangRoom,
    kDelayedForImage,
    kDelayedForSpread,
    kBackoff,
    kPreviousAttemptNotEnded,
    kRecordFull,
};
// The reason's text in logs and on operator pages.
const char* wait_reason_text(WaitReason reason);

struct JobWait {
    Seconds since = 0;  // on this process's monotonic clock
    WaitReason reason = WaitReason::kNew;
    std::optional<Seconds> reason_logged_at;
    bool has_unplaced_task = false;  // a machine runs a task of the job that matches no placement
    // Since when nothing tells when a gang's resources will be free; std::nullopt if it is known.
    std::optional<Seconds> start_unknown_since;

    // Whether resources have been reserved for the gang for so long without an expected start that others may
    // use them.
    [[nodiscard]] bool reservation_expired(Seconds now) const {
        return start_unknown_since &&
               now - *start_unknown_since >= constants::kReservationWithoutExpectedStart_s;
    }

    // Whether the reason has not been logged within the last kWaitLogInterval_s.
    [[nodiscard]] bool reason_log_due(Seconds now) const {
        return !reason_logged_at || now - *reason_logged_at >= constants::kWaitLogInterval_s;
    }
};

// Preemption of tasks of lower priority on machines that have the job's image cached.
struct ImagePreemption {
    Seconds until = 0;                      // until then the job starts on no other machine; 0: no preemption
    std::optional<Seconds> tried_for_wait;  // JobWait::since of the wait during which it was last tried
};

}  // namespace hareshore

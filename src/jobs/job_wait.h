// Why and since when a job's tasks wait, and preemption for image locality on their behalf.
#pragma once
#include <cstdint>
#include <optional>

#include "base/clock.h"
#include "base/constants.h"

namespace hareshore {

// Why a job's tasks wait, for the operators.
enum class WaitReason : uint8_t {
    kNone,
    kNew,
    kTeamLimit,
    kNoRoom,
    kGangRoom,
    kDelayedForImage,
    kDelayedForSpread,
    kBackoff,
    kOldAttempt,
    kRecordFull,
};
// The reason's text in logs and on operator pages.
const char* wait_reason_text(WaitReason reason);

struct JobWait {
    Seconds since = 0;  // on this process's clock
    WaitReason reason = WaitReason::kNew;
    std::optional<Seconds> reason_logged_at;
    bool has_unplaced_task = false;  // a machine runs a task of the job that no placement accounts for

    // Whether the reason was not logged in the last kWaitLogInterval_s.
    [[nodiscard]] bool reason_log_due(Seconds now) const {
        return !reason_logged_at || now - *reason_logged_at >= constants::kWaitLogInterval_s;
    }
};

// Tasks of less importance are stopped on machines that have the job's image.
struct ImagePreemption {
    Seconds until = 0;                      // the job starts nowhere else before; 0: no preemption
    std::optional<Seconds> tried_for_wait;  // JobWait::since of the wait for which it was tried
};

}  // namespace hareshore

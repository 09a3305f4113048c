#include "jobs/job_wait.h"

namespace hareshore {

const char* wait_reason_text(WaitReason reason) {
    switch (reason) {
        case WaitReason::kNone:
            return "not waiting";
        case WaitReason::kNew:
            return "just arrived, not looked at yet";
        case WaitReason::kTeamLimit:
            return "its team's limit is used up";
        case WaitReason::kNoRoom:
            return "no machine that it may use has room";
        case WaitReason::kGangRoom:
            return "no room for all tasks of the gang at once";
        case WaitReason::kDelayedForImage:
            return "held briefly for an idle machine that has its image";
        case WaitReason::kDelayedForSpread:
            return "held briefly for a machine that runs less of it";
        case WaitReason::kBackoff:
            return "its tasks failed on several machines; it is tried again later";
        case WaitReason::kOldAttempt:
            return "tasks of its last attempt are still on their machines";
        case WaitReason::kRecordFull:
            return "its record is full; more tasks start as others finish";
    }
    return "";
}

}  // namespace hareshore

#include "jobs/job_wait.h"

namespace hareshore {

const char* wait_reason_text(WaitReason reason) {
    switch (reason) {
        case WaitReason::kNone:
            return "not waiting";
        case WaitReason::kNew:
            return "submitted, not considered by the scheduler yet";
        case WaitReason::kTeamLimit:
            return "the team's resource limit is reached";
        case WaitReason::kNoRoom:
            return "no allowed machine has enough free resources";
        case WaitReason::kGangRoom:
            return "not enough free resources for all tasks of the gang at once";
        case WaitReason::kDelayedForImage:
            return "start delayed briefly, waiting for an idle machine with the image cached";
        case WaitReason::kDelayedForSpread:
            return "start delayed briefly, waiting for a machine that runs fewer of its replicas";
        case WaitReason::kBackoff:
            return "tasks failed on several machines; retrying after a back-off";
        case WaitReason::kPreviousAttemptNotEnded:
            return "tasks of the previous attempt are still on their machines";
        case WaitReason::kRecordFull:
            return "the job's record is full; more tasks start as others finish";
    }
    return "";
}

}  // namespace hareshore

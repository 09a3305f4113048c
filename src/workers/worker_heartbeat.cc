#include "workers/worker_heartbeat.h"

namespace hareshore {

std::string_view task_phase_name(TaskPhase phase) {
    switch (phase) {
        case TaskPhase::kFetching:
            return "fetching";
        case TaskPhase::kWaiting:
            return "waiting";
        case TaskPhase::kRunning:
            return "running";
        case TaskPhase::kSaving:
            return "saving";
        case TaskPhase::kExited:
            return "exited";
    }
    return "";
}

std::string_view exit_cause_name(ExitCause cause) {
    switch (cause) {
        case ExitCause::kNone:
            return "none";
        case ExitCause::kDone:
            return "done";
        case ExitCause::kStopped:
            return "stopped";
        case ExitCause::kPeersGone:
            return "peers_gone";
        case ExitCause::kIncomplete:
            return "incomplete";
        case ExitCause::kError:
            return "error";
        case ExitCause::kNoRoom:
            return "no_room";
        case ExitCause::kBusy:
            return "busy";
        case ExitCause::kUnknownJob:
            return "unknown_job";
    }
    return "";
}

}  // namespace hareshore

#include "users/response_history.h"

#include "base/constants.h"

namespace hareshore {

JobState JobState::from_final_record(const FinalRecord& final) {
    JobState state;
    state.final = true;
    state.phase = final.cancelled ? JobPhase::kCancelled : JobPhase::kDone;
    state.done = final.done;
    return state;
}

ResponseHistory::ResponseHistory()
    : finals_(constants::kFinalStateCacheSize), responses_(constants::kFinalStateCacheSize) {}

void ResponseHistory::add_final(const std::string& id, const FinalRecord& final) {
    finals_.insert(id, final);
}

void ResponseHistory::add_response(const std::string& id, JobPhase phase) {
    responses_.insert(id, SentResponse{}).cancelled |= phase == JobPhase::kCancelled;
}

JobStateResult ResponseHistory::ensure_monotonic(const std::string& id, JobStateResult read) const {
    if (read && read->final) return read;
    if (const FinalRecord* final = finals_.find(id)) return JobState::from_final_record(*final);
    const SentResponse* response = responses_.find(id);
    if (!response) return read;
    if (read && response->cancelled) {
        read->record.cancelled = true;
        read->phase = JobPhase::kCancelled;
    }
    // The job is accepted but was not found: the read began before the acceptance and must be repeated.
    if (!read) return tl::unexpected(JobReadError::kUnavailable);
    return read;
}

}  // namespace hareshore

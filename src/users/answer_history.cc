#include "users/answer_history.h"

#include "base/constants.h"

namespace hareshore {

JobState JobState::of_final(const FinalRecord& final) {
    JobState state;
    state.final = true;
    state.phase = final.cancelled ? JobPhase::kCancelled : JobPhase::kDone;
    state.done = final.done;
    return state;
}

AnswerHistory::AnswerHistory()
    : finals_(constants::kFinalStateCacheSize), answers_(constants::kFinalStateCacheSize) {}

void AnswerHistory::add_final(const std::string& id, const FinalRecord& final) {
    finals_.insert(id, final);
}

void AnswerHistory::add_answer(const std::string& id, JobPhase phase) {
    answers_.insert(id, CallResult{}).cancelled |= phase == JobPhase::kCancelled;
}

JobStateResult AnswerHistory::no_older_than_answered(const std::string& id, JobStateResult read) const {
    if (read && read->final) return read;
    if (const FinalRecord* final = finals_.find(id)) return JobState::of_final(*final);
    const CallResult* answer = answers_.find(id);
    if (!answer) return read;
    if (read && answer->cancelled) {
        read->record.cancelled = true;
        read->phase = JobPhase::kCancelled;
    }
    // Not found, though it was accepted: the read began before that, and has to be repeated.
    if (!read) return tl::unexpected(JobReadError::kUnavailable);
    return read;
}

}  // namespace hareshore

#include "users/job_requests.h"

#include <optional>
#include <utility>

#include "base/constants.h"
#include "base/log.h"

namespace hareshore {

namespace {

Response response_for(JobReadError error) {
    if (error == JobReadError::kUnknownJob) return error_response(404, "unknown job");
    return retry_response(RetryCause::kFailure);
}

// The packed record; none if it exceeds the key-value store's value limit.
std::optional<std::string> pack_within_limit(JobRecord& record, const Config& config, uint64_t format) {
    std::optional<std::string> packed = record.pack_within(config.value_limit(format), format);
    if (packed) return packed;
    // No task of a cancelled job starts again, so the set of completed tasks is not needed any more.
    record.done = {};
    return record.pack_within(config.value_limit(format), format);
}

}  // namespace

Task<Response> JobRequestHandler::query(std::string id) {
    JobStateResult state = co_await reader_.read(id, loop_.now() + constants::kUserReadTimeout_s);
    if (!state) co_return response_for(state.error());
    co_return responder_.respond(id, *state, JobDetail::kPhaseAndCounts);
}

Task<Response> JobRequestHandler::cancel(std::string id) {
    Seconds deadline = loop_.now() + constants::kUserWriteTimeout_s;
    while (loop_.now() < deadline) {
        JobStateResult state = co_await reader_.read(id, deadline);
        if (!state) co_return response_for(state.error());
        if (state->final || state->record.cancelled)
            co_return responder_.respond(id, *state, JobDetail::kPhase);
        if (record_format_.unsupported()) co_return retry_response(RetryCause::kFailure);
        switch (co_await commit_cancellation(id, std::move(*state))) {
            case CancelOutcome::kCommitted: {
                JobState cancelled;
                cancelled.phase = JobPhase::kCancelled;
                log::info("job_cancelled", {{"job", id}, {"by", "user"}});
                co_return responder_.respond(id, cancelled, JobDetail::kPhase);
            }
            case CancelOutcome::kRateLimited:
                co_return retry_response(RetryCause::kOverload);
            case CancelOutcome::kFailed:
                co_return retry_response(RetryCause::kFailure);
            case CancelOutcome::kConflict:
                break;  // The leader has written the record since the read: read it again.
        }
    }
    co_return retry_response(RetryCause::kFailure);
}

Task<JobRequestHandler::CancelOutcome> JobRequestHandler::commit_cancellation(std::string id,
                                                                              JobState state) {
    state.record.cancelled = true;
    state.record.cancelled_wall = loop_.wall();
    std::optional<std::string> packed =
        pack_within_limit(state.record, config_, record_format_.write_format());
    if (!packed) {
        log::error("cancellation_not_written", {{"job", id}, {"reason", "record_too_large"}});
        co_return CancelOutcome::kFailed;
    }
    Transaction transaction;
    transaction.expect_revision(live_key(id), state.mod_revision).put(live_key(id), std::move(*packed));
    TransactionResult result = co_await store_.commit(std::move(transaction), constants::kStoreCallTimeout_s);
    switch (result.status) {
        case StoreStatus::kOk:
            co_return CancelOutcome::kCommitted;
        case StoreStatus::kConflict:
            co_return CancelOutcome::kConflict;
        case StoreStatus::kRateLimited:
            co_return CancelOutcome::kRateLimited;
        default:
            co_return CancelOutcome::kFailed;
    }
}

}  // namespace hareshore

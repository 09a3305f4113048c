#include "users/submission.h"

#include <utility>

#include "base/constants.h"
#include "base/log.h"
#include "users/user_wire.h"

namespace hareshore {

SubmissionHandler::SubmissionHandler(Loop& loop, const Config& config, StoreClient& store,
                                     const std::vector<MachineType>& machine_types,
                                     const RecordFormat& record_format, JobReader& reader,
                                     ResponseHistory& history, JobResponder& responder)
    : loop_(loop),
      config_(config),
      store_(store),
      machine_types_(machine_types),
      record_format_(record_format),
      reader_(reader),
      history_(history),
      responder_(responder) {}

Task<Response> SubmissionHandler::submit(std::string body) {
    tl::expected<JobSpec, SubmissionError> job = parse_submission(body);
    if (!job) {
        std::string reason = describe(job.error());
        log::info("submission_refused", {{"reason", reason}});
        co_return error_response(400, reason);
    }
    Seconds deadline = loop_.now() + constants::kUserWriteTimeout_s;
    // This version must not write records of a newer format.
    if (record_format_.unsupported()) co_return retry_response(RetryCause::kFailure);
    JobRecord record;
    record.spec = std::move(*job);
    record.accepted_wall = loop_.wall();
    if (machine_types_.empty())
        co_return co_await reject_unless_accepted(record.spec, std::nullopt, deadline);
    std::optional<JobRefusal> refusal = check_runnable(record.spec, config_, machine_types_);
    if (!refusal) refusal = check_record_size(record, config_, record_format_);
    if (refusal) co_return co_await reject_unless_accepted(record.spec, refusal, deadline);
    if (reader_.store_unavailable()) co_return retry_response(RetryCause::kStoreOutage);
    co_return co_await commit(std::move(record), deadline);
}

Task<Response> SubmissionHandler::reject_unless_accepted(JobSpec job, std::optional<JobRefusal> refusal,
                                                         Seconds deadline) {
    JobStateResult state = co_await reader_.read(job.id, deadline);
    if (state) co_return responder_.respond(job.id, *state, JobDetail::kPhase);
    bool refused = refusal && state.error() == JobReadError::kUnknownJob;
    if (!refused) co_return retry_response(RetryCause::kFailure);
    co_return error_response(status_of(*refusal), describe(*refusal, job));
}

Task<Response> SubmissionHandler::commit(JobRecord record, Seconds deadline) {
    const JobSpec& job = record.spec;
    Transaction transaction;
    transaction.expect_absent(live_key(job.id)).expect_absent(final_key(job.id));
    transaction.put(live_key(job.id), record.pack(record_format_.write_format()));
    TransactionResult result = co_await store_.commit(std::move(transaction), constants::kStoreCallTimeout_s);
    switch (result.status) {
        case StoreStatus::kOk: {
            log::debug("job_accepted", {{"job", job.id},
                                        {"class", job.job_class},
                                        {"tasks", job.tasks},
                                        {"image", job.image},
                                        {"team", job.team}});
            // The job may have been cancelled while the response to the commit was delayed.
            JobStateResult state = history_.ensure_monotonic(job.id, JobState{});
            Response response = responder_.respond(job.id, *state, JobDetail::kPhase);
            response.status = 201;
            co_return response;
        }
        case StoreStatus::kConflict: {
            JobStateResult state = co_await reader_.read(job.id, deadline);
            if (state) co_return responder_.respond(job.id, *state, JobDetail::kPhase);
            co_return retry_response(RetryCause::kFailure);
        }
        // Responds at once with the time to retry after, rather than delaying the response.
        case StoreStatus::kRateLimited:
            co_return retry_response(RetryCause::kOverload);
        case StoreStatus::kNotExecuted:
            co_return retry_response(RetryCause::kStoreOutage);
        default:
            co_return retry_response(RetryCause::kFailure);
    }
}

}  // namespace hareshore

// Handles users' requests about accepted jobs: polls and cancellations.
#pragma once
#include <string>

#include "config/config.h"
#include "jobs/record_format.h"
#include "users/job_reader.h"
#include "users/responses.h"

namespace hareshore {

class JobRequestHandler {
  public:
    // All must outlive the handler.
    JobRequestHandler(Loop& loop, const Config& config, StoreClient& store, const RecordFormat& record_format,
                      JobReader& reader, JobResponder& responder)
        : loop_(loop),
          config_(config),
          store_(store),
          record_format_(record_format),
          reader_(reader),
          responder_(responder) {}

    // Returns the job's phase and its numbers of completed and running tasks.
    Task<Response> query(std::string id);
    // Cancels the job. Responds with status 200 once the cancellation is committed, or if the job had already
    // ended or been cancelled.
    Task<Response> cancel(std::string id);

  private:
    enum class CancelOutcome : uint8_t { kCommitted, kConflict, kRateLimited, kFailed };

    Task<CancelOutcome> commit_cancellation(std::string id, JobState state);

    Loop& loop_;
    const Config& config_;
    StoreClient& store_;
    const RecordFormat& record_format_;
    JobReader& reader_;
    JobResponder& responder_;
};

}  // namespace hareshore

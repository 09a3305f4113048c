// Users' requests about accepted jobs: their state and their cancellation.
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

    // The job's phase and numbers of tasks.
    Task<Response> query(std::string id);
    // Cancels the job. Status 200 once that is committed, or if the job had ended or been cancelled before.
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

// Accepts jobs: validates a submission and writes the job's initial record.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "users/job_reader.h"
#include "users/responses.h"
#include "users/submission_check.h"

namespace hareshore {

class SubmissionHandler {
  public:
    // All must outlive the handler. `machine_types` is empty while they are unknown.
    SubmissionHandler(Loop& loop, const Config& config, StoreClient& store,
                      const std::vector<MachineType>& machine_types, const RecordFormat& record_format,
                      JobReader& reader, ResponseHistory& history, JobResponder& responder);

    // Responds with status 201 once the job is committed, 200 if it was accepted before, 4xx if it is refused
    // permanently, and otherwise asks the user to retry. Idempotent: the job's id is the idempotency key.
    Task<Response> submit(std::string body);

  private:
    // Refuses the job, or asks the user to retry if that cannot be decided yet (no `refusal`). A job that has
    // been accepted stays accepted, even if the machine types or limits have changed since.
    Task<Response> reject_unless_accepted(JobSpec job, std::optional<JobRefusal> refusal, Seconds deadline);
    Task<Response> commit(JobRecord record, Seconds deadline);

    Loop& loop_;
    const Config& config_;
    StoreClient& store_;
    const std::vector<MachineType>& machine_types_;
    const RecordFormat& record_format_;
    JobReader& reader_;
    ResponseHistory& history_;
    JobResponder& responder_;
};

}  // namespace hareshore

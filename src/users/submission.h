// Accepts jobs: checks a submission and writes the job's first record.
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
                      JobReader& reader, AnswerHistory& history, JobResponder& responder);

    // Status 201 once the job is committed, 200 if it was accepted before, 4xx if it is refused for good,
    // else a request to retry. Idempotent: a job's id is its key.
    Task<Response> submit(std::string body);

  private:
    // Refuses the job, or asks for a retry if it cannot be decided yet (no `refusal`). But a job that was
    // accepted once stays accepted, whatever the machine types and limits are by now.
    Task<Response> answer_unless_accepted(JobSpec job, std::optional<JobRefusal> refusal, Seconds until);
    Task<Response> commit(JobRecord record, Seconds until);

    Loop& loop_;
    const Config& config_;
    StoreClient& store_;
    const std::vector<MachineType>& machine_types_;
    const RecordFormat& record_format_;
    JobReader& reader_;
    AnswerHistory& history_;
    JobResponder& responder_;
};

}  // namespace hareshore

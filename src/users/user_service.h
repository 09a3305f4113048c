// The service for users. Every controller serves them, leader or not: what it answers is committed to the
// key-value store or read from it.
#pragma once
#include <string>
#include <vector>

#include "users/answer_history.h"
#include "users/job_reader.h"
#include "users/job_requests.h"
#include "users/responses.h"
#include "users/submission.h"

namespace hareshore {

// Routes users' requests to their handlers and limits how many are in progress.
class UserService {
  public:
    // All must outlive the service. `on_cancellation` is called with a job's id before a user is told that
    // the job is cancelled.
    UserService(Loop& loop, const Config& config, StoreClient& store,
                const std::vector<MachineType>& machine_types, const RecordFormat& record_format,
                JobResponder::CancellationListener on_cancellation);

    // Answers one request. The service must not be destroyed meanwhile.
    Task<Response> handle(const Request& request);

    // Cancels reads in progress; their coroutines unwind in the loop's next turns.
    void stop() { reader_.stop(); }

    // When a user was last told here of a cancellation, or when this process began, on the loop's clock.
    [[nodiscard]] Seconds last_cancellation() const { return responder_.last_cancellation(); }

  private:
    AnswerHistory history_;
    JobReader reader_;
    JobResponder responder_;
    SubmissionHandler submissions_;
    JobRequestHandler jobs_;
    size_t in_progress_ = 0;  // requests
    size_t max_in_progress_;
};

}  // namespace hareshore

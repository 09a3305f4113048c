// The HTTP service for users. Every controller serves them, leader or not: the state in its responses is
// committed to the key-value store or read from it.
#pragma once
#include <string>
#include <vector>

#include "users/job_reader.h"
#include "users/job_requests.h"
#include "users/response_history.h"
#include "users/responses.h"
#include "users/submission.h"

namespace hareshore {

// Routes users' requests to their handlers and limits the number of requests in progress.
class UserService {
  public:
    // All must outlive the service. `on_cancellation` is called with a job's id before a response confirms
    // its cancellation.
    UserService(Loop& loop, const Config& config, StoreClient& store,
                const std::vector<MachineType>& machine_types, const RecordFormat& record_format,
                JobResponder::CancellationListener on_cancellation);

    // Handles one request. The service must not be destroyed before the task completes.
    Task<Response> handle(const Request& request);

    // Cancels reads in progress; their coroutines unwind in the next iterations of the loop.
    void stop() { reader_.stop(); }

    // When a response of this controller last confirmed a cancellation, or when the service was created, on
    // the loop's clock.
    [[nodiscard]] Seconds last_cancellation() const { return responder_.last_cancellation(); }

  private:
    ResponseHistory history_;
    JobReader reader_;
    JobResponder responder_;
    SubmissionHandler submissions_;
    JobRequestHandler jobs_;
    size_t in_progress_ = 0;  // requests
    size_t max_in_progress_;
};

}  // namespace hareshore

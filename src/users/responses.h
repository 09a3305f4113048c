// Builds the responses to users and records which job states they have been told.
#pragma once
#include <functional>
#include <string>

#include "http/message.h"
#include "users/response_history.h"

namespace hareshore {

// Why a user must retry a request later.
enum class RetryCause : uint8_t {
    kFailure,      // a failure that is likely short
    kOverload,     // more requests than this controller or the store's rate limit allows
    kStoreOutage,  // the key-value store is unavailable
};

[[nodiscard]] Response error_response(int status, const std::string& text);
[[nodiscard]] Response retry_response(RetryCause cause);

// Which parts of a job's state a response contains.
enum class JobDetail : uint8_t { kPhase, kPhaseAndCounts };

// Builds responses with a job's state and records them in the response history.
class JobResponder {
  public:
    // Called with a job's id before a response confirms its cancellation.
    using CancellationListener = std::function<void(const std::string&)>;

    // `loop` and `history` must outlive the responder.
    JobResponder(Loop& loop, ResponseHistory& history, CancellationListener on_cancellation)
        : loop_(loop),
          history_(history),
          on_cancellation_(std::move(on_cancellation)),
          last_cancellation_(loop.now()) {}

    // The response with a job's state, of status 200. It is recorded as sent.
    [[nodiscard]] Response respond(const std::string& id, const JobState& state, JobDetail detail);

    // When a response last confirmed a cancellation, or when this object was created, on the loop's clock.
    [[nodiscard]] Seconds last_cancellation() const { return last_cancellation_; }

  private:
    Loop& loop_;
    ResponseHistory& history_;
    CancellationListener on_cancellation_;
    Seconds last_cancellation_;
};

}  // namespace hareshore

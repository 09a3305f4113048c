// The responses to users, and what follows from a job's state being told.
#pragma once
#include <functional>
#include <string>

#include "http/message.h"
#include "users/answer_history.h"

namespace hareshore {

// Why a user has to repeat a request later.
enum class RetryCause : uint8_t {
    kFailure,      // likely short
    kOverload,     // more requests than this controller or the store's rate limit allows
    kStoreOutage,  // the key-value store is unavailable
};

[[nodiscard]] Response error_response(int status, const std::string& text);
[[nodiscard]] Response retry_response(RetryCause cause);

// What a response contains of a job.
enum class JobDetail : uint8_t { kPhase, kPhaseAndCounts };

// Tells users of jobs' states and keeps the history of it.
class JobResponder {
  public:
    // Called with a job's id before a user is told that the job is cancelled.
    using CancellationListener = std::function<void(const std::string&)>;

    // `loop` and `history` must outlive the responder.
    JobResponder(Loop& loop, AnswerHistory& history, CancellationListener on_cancellation)
        : loop_(loop),
          history_(history),
          on_cancellation_(std::move(on_cancellation)),
          last_cancellation_(loop.now()) {}

    // The response with a job's state, status 200. It counts as sent.
    [[nodiscard]] Response respond(const std::string& id, const JobState& state, JobDetail detail);

    // When a user was last told of a cancellation, or when this object was made, on the loop's clock.
    [[nodiscard]] Seconds last_cancellation() const { return last_cancellation_; }

  private:
    Loop& loop_;
    AnswerHistory& history_;
    CancellationListener on_cancellation_;
    Seconds last_cancellation_;
};

}  // namespace hareshore

// A token bucket, which limits the rate of requests.
#pragma once
#include <algorithm>
#include <optional>

#include "base/clock.h"
#include "base/constants.h"

namespace hareshore {

// Tokens are refilled at a constant rate up to a maximum. Every function takes the current time of the steady
// clock, which must not go back.
class TokenBucket {
  public:
    // Starts full. `rate` is in tokens per second and greater than 0; `burst` is the capacity.
    TokenBucket(double rate, double burst) : rate_(rate), burst_(burst), available_(burst) {}

    // Tokens that can be taken now.
    [[nodiscard]] double available(Seconds now) {
        refill(now);
        return available_;
    }
    // Takes `tokens` if that many are available; otherwise takes none and returns false. Callers that take no
    // more than available() returned may ignore the result.
    bool take(double tokens, Seconds now) {
        refill(now);
        if (available_ + constants::kTokenRoundingTolerance < tokens) return false;
        available_ -= tokens;
        return true;
    }
    // Seconds until `tokens`, or the capacity if that is smaller, can be taken.
    [[nodiscard]] Seconds wait_time(double tokens, Seconds now) {
        refill(now);
        double needed = std::min(tokens, burst_);
        // A rounding error is not waited for: so short a wait would not advance the clock.
        if (available_ + constants::kTokenRoundingTolerance >= needed) return 0;
        return (needed - available_) / rate_;
    }
    // Discards all tokens after the server reported that the rate limit is exceeded.
    void mark_exhausted(Seconds now) {
        refill(now);
        available_ = std::min(available_, 0.0);
    }

  private:
    void refill(Seconds now) {
        if (refilled_at_) available_ = std::min(burst_, available_ + (now - *refilled_at_) * rate_);
        refilled_at_ = now;
    }

    double rate_;
    double burst_;
    double available_;
    std::optional<Seconds> refilled_at_;
};

}  // namespace hareshore

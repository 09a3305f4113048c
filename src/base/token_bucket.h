// A token bucket: how much of a rate limit is left.
#pragma once
#include <algorithm>
#include <optional>

#include "base/clock.h"
#include "base/constants.h"

namespace hareshore {

// Tokens are refilled at a constant rate up to a maximum. Every call takes the current time of the steady
// clock, which must not go back.
class TokenBucket {
  public:
    // Starts full. `rate` is in tokens a second and above 0; `burst` is the most that it holds.
    TokenBucket(double rate, double burst) : rate_(rate), burst_(burst), available_(burst) {}

    // Tokens that can be taken now.
    [[nodiscard]] double available(Seconds now) {
        refill(now);
        return available_;
    }
    // Takes `tokens` if there are as many; else takes none and returns false. Who takes only what available()
    // returned may ignore the result.
    bool take(double tokens, Seconds now) {
        refill(now);
        if (available_ + constants::kTokenRoundingTolerance < tokens) return false;
        available_ -= tokens;
        return true;
    }
    // Seconds until `tokens`, or the most that it holds, can be taken.
    [[nodiscard]] Seconds wait_time(double tokens, Seconds now) {
        refill(now);
        double needed = std::min(tokens, burst_);
        // What rounding leaves out of a token is no reason to wait: so short a wait would not move the clock.
        if (available_ + constants::kTokenRoundingTolerance >= needed) return 0;
        return (needed - available_) / rate_;
    }
    // The limit's owner reported that it is exceeded: there are no tokens left, whatever was assumed.
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

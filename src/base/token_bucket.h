// A token bucket: how much of a rate limit is left.
#pragma once
#include <algorithm>

#include "base/clock.h"
#include "base/constants.h"

namespace hareshore {

class TokenBucket {
  public:
    TokenBucket(double rate, double burst) : rate_(rate), burst_(burst), left_(burst) {}
    double left(Seconds now) {
        refill(now);
        return left_;
    }
    // Takes n if there are as many.
    bool take(double n, Seconds now) {
        refill(now);
        if (left_ + constants::kTokenRoundingTolerance < n) return false;
        left_ -= n;
        return true;
    }
    // Seconds until n are there.
    Seconds until(double n, Seconds now) {
        refill(now);
        // What rounding leaves out of a token is no reason to wait: so short a wait would not move the clock.
        return left_ + constants::kTokenRoundingTolerance >= std::min(n, burst_)
                   ? 0
                   : (std::min(n, burst_) - left_) / rate_;
    }
    // The peer says that the limit is exceeded: what was thought to be left is not there.
    void mark_exhausted(Seconds now) {
        refill(now);
        left_ = std::min(left_, 0.0);
    }

  private:
    void refill(Seconds now) {
        if (last_ > 0) left_ = std::min(burst_, left_ + (now - last_) * rate_);
        last_ = now;
    }
    double rate_, burst_, left_;
    Seconds last_ = 0;
};

}  // namespace hareshore

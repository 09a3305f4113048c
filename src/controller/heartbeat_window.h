// Sliding-window count of the worker heartbeats that reached this controller directly.
#pragma once
#include <cstddef>
#include <deque>
#include <optional>

#include "base/clock.h"

namespace hareshore {

// Stores the times of the heartbeats of the last kHeartbeatCountWindow_s, at most kRedirectionsKept of them.
class HeartbeatWindow {
  public:
    void record(Seconds now);
    // Number of heartbeats recorded in the last kHeartbeatCountWindow_s.
    [[nodiscard]] size_t count(Seconds now) const;
    // Time of the last recorded heartbeat; nullopt if there was none.
    [[nodiscard]] std::optional<Seconds> last() const;

  private:
    std::deque<Seconds> times_;  // oldest first
};

}  // namespace hareshore

// Counts the worker heartbeats that reached this controller directly in the last seconds.
#pragma once
#include <cstddef>
#include <deque>
#include <optional>

#include "base/clock.h"

namespace hareshore {

// Keeps the times of the last kHeartbeatCountWindow_s, at most kRedirectionsKept of them.
class HeartbeatWindow {
  public:
    void record(Seconds now);
    // How many were recorded in the last kHeartbeatCountWindow_s.
    [[nodiscard]] size_t count(Seconds now) const;
    // When the last one was recorded; nothing before the first.
    [[nodiscard]] std::optional<Seconds> last() const;

  private:
    std::deque<Seconds> times_;  // oldest first
};

}  // namespace hareshore

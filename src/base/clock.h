// The clocks of a controller. All decisions use the steady clock. The wall clock only provides timestamps of
// records, which outlive the process and thus its steady clock.
#pragma once
#include <cstdint>

struct epoll_event;

namespace hareshore {

// A duration, or a point in time of this process's steady clock.
using Seconds = double;

// A point in time of the wall clock. A separate type, so that it cannot be confused with steady time.
struct WallTime {
    Seconds since_epoch = 0;

    Seconds operator-(WallTime earlier) const { return since_epoch - earlier.since_epoch; }
    bool operator==(const WallTime&) const = default;
};

// Source of the time and of timed waits.
class Clock {
  public:
    virtual ~Clock() = default;
    // The steady clock, which never goes back. Its epoch is arbitrary.
    [[nodiscard]] virtual Seconds now() const = 0;
    [[nodiscard]] virtual WallTime wall() const = 0;
    // Waits for events of `epoll_fd` for up to `timeout` seconds (negative: without limit). Like
    // epoll_wait(2), returns the number of events written to `events`, which has room for `max_events`, or -1
    // on an error, including an interrupt.
    virtual int wait(int epoll_fd, epoll_event* events, int max_events, Seconds timeout) = 0;
};

// The clocks of the operating system.
class SystemClock : public Clock {
  public:
    [[nodiscard]] Seconds now() const override;
    [[nodiscard]] WallTime wall() const override;
    int wait(int epoll_fd, epoll_event* events, int max_events, Seconds timeout) override;
};

// Simulated time for tests: it does not advance while events arrive, and otherwise jumps to the next
// deadline.
class FakeClock : public Clock {
  public:
    [[nodiscard]] Seconds now() const override { return now_; }
    [[nodiscard]] WallTime wall() const override { return {kWallAtZero + now_}; }
    int wait(int epoll_fd, epoll_event* events, int max_events, Seconds timeout) override;
    void advance(Seconds duration) { now_ += duration; }

  private:
    static constexpr Seconds kWallAtZero = 1.0e9;

    Seconds now_ = 1000.0;
};

}  // namespace hareshore

// The two clocks of a controller. All decisions use the steady clock; the wall clock only dates records,
// which outlive the process whose steady clock they could refer to.
#pragma once
#include <cstdint>

struct epoll_event;

namespace hareshore {

// A duration, or a point on the steady clock of this process.
using Seconds = double;

// A point on the wall clock. A type of its own, so that it cannot be mixed up with steady time.
struct WallTime {
    Seconds since_epoch = 0;

    Seconds operator-(WallTime earlier) const { return since_epoch - earlier.since_epoch; }
    bool operator==(const WallTime&) const = default;
};

// The time, and waiting for it to pass.
class Clock {
  public:
    virtual ~Clock() = default;
    // The steady clock: never goes back; its zero means nothing.
    [[nodiscard]] virtual Seconds now() const = 0;
    [[nodiscard]] virtual WallTime wall() const = 0;
    // Waits for events of `epoll_fd` for up to `timeout` seconds (negative: without limit). Returns, like
    // epoll_wait(2), how many it wrote to `events`, which holds `max_events`; -1 on an error, among them an
    // interrupt.
    virtual int wait(int epoll_fd, epoll_event* events, int max_events, Seconds timeout) = 0;
};

// The clocks of the system.
class SystemClock : public Clock {
  public:
    [[nodiscard]] Seconds now() const override;
    [[nodiscard]] WallTime wall() const override;
    int wait(int epoll_fd, epoll_event* events, int max_events, Seconds timeout) override;
};

// For tests: time stands still while events arrive and jumps to the next deadline otherwise.
class FakeClock : public Clock {
  public:
    [[nodiscard]] Seconds now() const override { return now_; }
    [[nodiscard]] WallTime wall() const override { return {kWallAtZero + now_}; }
    int wait(int epoll_fd, epoll_event* events, int max_events, Seconds timeout) override;
    void advance(Seconds by) { now_ += by; }

  private:
    static constexpr Seconds kWallAtZero = 1.0e9;

    Seconds now_ = 1000.0;
};

}  // namespace hareshore

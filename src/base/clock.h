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

class Clock {
  public:
    virtual ~Clock() = default;
    virtual Seconds now() const = 0;  // steady
    virtual WallTime wall() const = 0;
    // Waits for events of `epoll_fd` for up to `timeout` seconds (negative: without limit).
    virtual int wait(int epoll_fd, epoll_event* events, int most, Seconds timeout) = 0;
};

class SystemClock : public Clock {
  public:
    Seconds now() const override;
    WallTime wall() const override;
    int wait(int epoll_fd, epoll_event* events, int most, Seconds timeout) override;
};

// For tests: time stands still while anything is happening and jumps to the next deadline otherwise.
class FakeClock : public Clock {
  public:
    Seconds now() const override { return now_; }
    WallTime wall() const override { return {1.0e9 + now_}; }
    int wait(int epoll_fd, epoll_event* events, int most, Seconds timeout) override;
    void advance(Seconds by) { now_ += by; }

  private:
    Seconds now_ = 1000.0;
};

}  // namespace hareshore

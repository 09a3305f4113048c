// Time as the controller sees it. Seconds of a steady clock are used for everything but due times.
#pragma once
#include <cstdint>

struct epoll_event;

namespace hareshore {

using Seconds = double;

class Clock {
  public:
    virtual ~Clock() = default;
    virtual Seconds now() const = 0;   // steady
    virtual Seconds wall() const = 0;  // time of day
    // Waits for events of `epoll_fd` for up to `timeout` seconds (negative: without limit).
    virtual int wait(int epoll_fd, epoll_event* events, int most, Seconds timeout) = 0;
};

class SystemClock : public Clock {
  public:
    Seconds now() const override;
    Seconds wall() const override;
    int wait(int epoll_fd, epoll_event* events, int most, Seconds timeout) override;
};

// For tests: time stands still while anything is happening and jumps to the next deadline otherwise.
class FakeClock : public Clock {
  public:
    Seconds now() const override { return now_; }
    Seconds wall() const override { return 1.0e9 + now_; }
    int wait(int epoll_fd, epoll_event* events, int most, Seconds timeout) override;
    void advance(Seconds by) { now_ += by; }

  private:
    Seconds now_ = 1000.0;
};

}  // namespace hareshore

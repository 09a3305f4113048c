#include "base/clock.h"

#include <sys/epoll.h>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace hareshore {

namespace {

constexpr double kMaxWait_ms = 60'000.0;  // the loop then runs a turn without an event
// Real time that the fake clock waits without a deadline; the simulated time does not advance.
constexpr int kWaitWithoutDeadline_ms = 50;

}  // namespace

Seconds SystemClock::now() const {
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

WallTime SystemClock::wall() const {
    return {std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count()};
}

int SystemClock::wait(int epoll_fd, epoll_event* events, int max_events, Seconds timeout) {
    // Rounded up, so that the loop does not spin until a timer that is due in less than a millisecond.
    int timeout_ms = timeout < 0 ? -1 : static_cast<int>(std::min(kMaxWait_ms, std::ceil(timeout * 1000.0)));
    return epoll_wait(epoll_fd, events, max_events, timeout_ms);
}

int FakeClock::wait(int epoll_fd, epoll_event* events, int max_events, Seconds timeout) {
    int count = epoll_wait(epoll_fd, events, max_events, 0);
    if (count != 0 || timeout == 0) return count;
    if (timeout < 0) return epoll_wait(epoll_fd, events, max_events, kWaitWithoutDeadline_ms);
    now_ += timeout;
    return 0;
}

}  // namespace hareshore

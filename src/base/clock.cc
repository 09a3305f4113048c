#include "base/clock.h"

#include <sys/epoll.h>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace hareshore {

Seconds SystemClock::now() const {
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

WallTime SystemClock::wall() const {
    return {std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count()};
}

int SystemClock::wait(int epoll_fd, epoll_event* events, int most, Seconds timeout) {
    // Rounded up, so that a timer that is due in a fraction of a millisecond does not spin.
    int ms = timeout < 0 ? -1 : static_cast<int>(std::min(60'000.0, std::ceil(timeout * 1000.0)));
    return epoll_wait(epoll_fd, events, most, ms);
}

int FakeClock::wait(int epoll_fd, epoll_event* events, int most, Seconds timeout) {
    int n = epoll_wait(epoll_fd, events, most, 0);
    if (n != 0 || timeout == 0) return n;
    if (timeout < 0) return epoll_wait(epoll_fd, events, most, 50);
    now_ += timeout;
    return 0;
}

}  // namespace hareshore

#include "controller/heartbeat_window.h"

#include <algorithm>

#include "base/constants.h"

namespace hareshore {

void HeartbeatWindow::record(Seconds now) {
    times_.push_back(now);
    while (times_.size() > constants::kRedirectionsKept ||
           now - times_.front() > constants::kHeartbeatCountWindow_s)
        times_.pop_front();
}

size_t HeartbeatWindow::count(Seconds now) const {
    const auto recent = std::count_if(times_.begin(), times_.end(), [now](Seconds time) {
        return now - time < constants::kHeartbeatCountWindow_s;
    });
    return static_cast<size_t>(recent);
}

std::optional<Seconds> HeartbeatWindow::last() const {
    if (times_.empty()) return std::nullopt;
    return times_.back();
}

}  // namespace hareshore

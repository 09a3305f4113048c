#include "peer/cancellation_announcements.h"

#include <algorithm>

#include "base/constants.h"

namespace hareshore::peer {

void CancellationAnnouncements::add(const std::string& job) {
    if (!kept_jobs_.insert(job).second) return;
    jobs_.push_back(job);
    ++count_;
    if (jobs_.size() > constants::kCancellationAnnouncementsKept) {
        kept_jobs_.erase(jobs_.front());
        jobs_.pop_front();
    }
}

std::optional<CancellationNotice> CancellationAnnouncements::notice_after(uint32_t already_sent) const {
    if (already_sent == count_) return std::nullopt;
    const uint32_t first_kept = count_ - static_cast<uint32_t>(jobs_.size());
    const uint32_t first_index = std::max(already_sent, first_kept);
    return CancellationNotice{
        incarnation_, first_index, {jobs_.begin() + (first_index - first_kept), jobs_.end()}};
}

}  // namespace hareshore::peer

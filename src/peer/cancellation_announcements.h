// Log of the cancellations that this process has confirmed to users, from which peers are notified.
#pragma once
#include <deque>
#include <optional>
#include <set>
#include <string>

#include "peer/frames.h"

namespace hareshore::peer {

// Numbers cancellations in the order of their confirmation and keeps the last kCancellationAnnouncementsKept.
class CancellationAnnouncements {
  public:
    // `incarnation`: of this process.
    explicit CancellationAnnouncements(uint64_t incarnation) : incarnation_(incarnation) {}

    // Call before responding to the user. A job that is still kept is not added again.
    void add(const std::string& job);
    // Number of jobs added so far, including those no longer kept.
    [[nodiscard]] uint32_t count() const { return count_; }
    // The kept jobs except the first `already_sent` of all that were added; nullopt if all have been sent.
    [[nodiscard]] std::optional<CancellationNotice> notice_after(uint32_t already_sent) const;

  private:
    uint64_t incarnation_;
    std::deque<std::string> jobs_;     // the kept jobs, oldest first
    std::set<std::string> kept_jobs_;  // the same jobs, for lookup
    uint32_t count_ = 0;
};

}  // namespace hareshore::peer

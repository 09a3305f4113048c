// The cancellations that this process has confirmed to users, for the notices to its peers.
#pragma once
#include <deque>
#include <optional>
#include <set>
#include <string>

#include "peer/frames.h"

namespace hareshore::peer {

// Numbers them in the order in which they were confirmed and keeps the last kCancellationAnnouncementsKept of
// them.
class CancellationAnnouncements {
  public:
    // `incarnation` is that of this process.
    explicit CancellationAnnouncements(uint64_t incarnation) : incarnation_(incarnation) {}

    // To be called before the user's request is answered. A job that is still kept is not added again.
    void add(const std::string& job);
    // How many were added so far, also those that are no longer kept.
    [[nodiscard]] uint32_t count() const { return count_; }
    // All that are kept and not among the first `already_sent`; nothing if count() were sent.
    [[nodiscard]] std::optional<CancellationNotice> notice_after(uint32_t already_sent) const;

  private:
    uint64_t incarnation_;
    std::deque<std::string> jobs_;      // the last ones, oldest first
    std::set<std::string> known_jobs_;  // the same
    uint32_t count_ = 0;
};

}  // namespace hareshore::peer

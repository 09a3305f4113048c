#include "leader/cancellation_guard.h"

#include <algorithm>

#include "base/constants.h"
#include "base/log.h"

namespace hareshore {

// Applying the cancellation before the store confirms it allows lease renewals to continue. Otherwise one
// cancelled job could let all leases expire, which lost the work of the whole fleet.
void CancellationGuard::observe(const std::string& job_id) {
    observed_at_[job_id] = dependencies_.loop.now();
    Job* job = dependencies_.jobs.find(job_id);
    if (!job || job->cancelled) return;
    log::info("job_cancelled", {{"job", job_id}, {"by", "confirmation_to_user"}});
    const Seconds now = dependencies_.loop.now();
    dependencies_.jobs.cancel(*job, now, now);
    dependencies_.pass_requests.request();
}

std::optional<Seconds> CancellationGuard::observed_at(const std::string& job_id) const {
    auto observed = observed_at_.find(job_id);
    return observed == observed_at_.end() ? std::nullopt : std::optional(observed->second);
}

void CancellationGuard::on_changes_read(Seconds requested_at) {
    Seconds known_until = std::max(records_known_until_.value_or(requested_at), requested_at);
    records_known_until_ = known_until;
    std::erase_if(observed_at_, [&](const auto& observed) { return observed.second < known_until; });
}

bool CancellationGuard::may_renew_leases() {
    if (!records_known_until_) return false;
    const Config& config = dependencies_.config;
    Seconds allowed_staleness = (config.cancel_s - config.lease_s) * (1 - constants::kClockDriftRate) -
                                constants::kRenewalRightMargin_s;
    Seconds now = dependencies_.loop.now();
    // This time never moves back, even if a peer restarts and can no longer confirm it.
    Seconds known_until =
        std::max(cancellations_known_until_.value_or(*records_known_until_), *records_known_until_);
    cancellations_known_until_ =
        std::max(known_until, dependencies_.leadership.cancellations_known_until(known_until));
    return now < *cancellations_known_until_ + allowed_staleness;
}

}  // namespace hareshore

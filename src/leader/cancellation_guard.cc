#include "leader/cancellation_guard.h"

#include <algorithm>

#include "base/constants.h"
#include "base/log.h"

namespace hareshore {

// Known here before the store can confirm it, the cancellation need not hold up renewals: letting all leases
// expire because of a single job cost the work of the whole fleet.
void CancellationGuard::observe(const std::string& job_id) {
    observed_at_[job_id] = parts_.loop.now();
    Job* job = parts_.jobs.find(job_id);
    if (!job || job->cancelled) return;
    log::info("job_cancelled", {{"job", job_id}, {"by", "confirmation_to_user"}});
    parts_.jobs.cancel(*job, parts_.loop.now());
    parts_.pass_requests.request();
}

void CancellationGuard::changes_read(Seconds requested_at) {
    Seconds known_until = std::max(records_known_until_.value_or(requested_at), requested_at);
    records_known_until_ = known_until;
    std::erase_if(observed_at_, [&](const auto& observed) { return observed.second < known_until; });
}

bool CancellationGuard::may_renew() {
    if (!records_known_until_) return false;
    const Config& config = parts_.config;
    Seconds span = (config.cancel_s - config.lease_s) * (1 - constants::kClockDriftRate) -
                   constants::kRenewalRightMargin_s;
    Seconds now = parts_.loop.now();
    // What was known once stays known, also when a peer restarts and can no longer confirm it.
    Seconds known_until =
        std::max(cancellations_known_until_.value_or(*records_known_until_), *records_known_until_);
    cancellations_known_until_ =
        std::max(known_until, parts_.leadership.cancellations_known_until(known_until));
    return now < *cancellations_known_until_ + span;
}

}  // namespace hareshore

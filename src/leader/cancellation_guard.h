// The cancellations that this leader must know of before it may renew a worker's leases.
#pragma once
#include <map>
#include <optional>
#include <string>

#include "config/config.h"
#include "jobs/job_table.h"
#include "leader/leadership.h"
#include "leader/pass_requests.h"

namespace hareshore {

// Leases are renewed by the answers to heartbeats. What an answer keeps running ends at the latest lease_s
// after the heartbeat was sent, and no task may run longer than cancel_s after its user's cancellation was
// confirmed. So an answer is allowed while no cancellation older than the difference can be unknown here.
class CancellationGuard {
  public:
    // The parts of the leader that this one uses; all outlive it.
    struct Parts {
        Loop& loop;
        const Config& config;
        const Leadership& leadership;
        JobTable& jobs;
        PassRequests& pass_requests;
    };
    explicit CancellationGuard(const Parts& parts) : parts_(parts) {}

    // The cancellation is being confirmed to its user, by this controller or by a peer. The job's tasks are
    // stopped, also while the store cannot confirm it.
    void observe(const std::string& job_id);
    // Whether that happened later than the records that were read so far can show.
    [[nodiscard]] bool observed(const std::string& job_id) const { return observed_at_.contains(job_id); }

    // All records were read, by requests sent at `requested_at` or later.
    void records_read(Seconds requested_at) { records_known_until_ = requested_at; }
    // All changes of the records were read that were committed before `requested_at`.
    void changes_read(Seconds requested_at);

    // Whether a heartbeat may be answered now, which renews the leases of its worker's tasks.
    [[nodiscard]] bool may_renew();

  private:
    const Parts parts_;
    std::map<std::string, Seconds> observed_at_;  // by job
    // No cancellation committed before this is unknown; nothing before the first reading.
    std::optional<Seconds> records_known_until_;
    // No cancellation confirmed to a user before this is unknown.
    std::optional<Seconds> cancellations_known_until_;
};

}  // namespace hareshore

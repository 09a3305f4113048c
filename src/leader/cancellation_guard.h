// Decides whether a leader may renew workers' leases, given how recent its knowledge of cancellations is.
#pragma once
#include <map>
#include <optional>
#include <string>

#include "config/config.h"
#include "jobs/job_table.h"
#include "leader/leadership.h"
#include "leader/pass_requests.h"

namespace hareshore {

// The response to a heartbeat renews the leases of the worker's tasks, which then run for up to lease_s after
// the heartbeat was sent. No task may run longer than cancel_s after its cancellation was confirmed to the
// user. Renewal is therefore allowed only while every cancellation older than cancel_s - lease_s is known to
// this leader.
class CancellationGuard {
  public:
    // All must outlive the guard.
    struct Dependencies {
        Loop& loop;
        const Config& config;
        const Leadership& leadership;
        JobTable& jobs;
        PassRequests& pass_requests;
    };
    explicit CancellationGuard(const Dependencies& dependencies) : dependencies_(dependencies) {}

    // Records that this controller or a peer is confirming the cancellation to its user, and stops the job's
    // tasks without waiting for the store.
    void observe(const std::string& job_id);
    // When the job's cancellation was observed, if it was and may be missing from the records read so far.
    [[nodiscard]] std::optional<Seconds> observed_at(const std::string& job_id) const;

    // All records were read; the first request was sent at `requested_at`.
    void on_records_read(Seconds requested_at) { records_known_until_ = requested_at; }
    // All record changes committed before `requested_at` were read.
    void on_changes_read(Seconds requested_at);

    // Whether a response to a heartbeat may be sent now; it renews the leases of the worker's tasks.
    [[nodiscard]] bool may_renew_leases();

  private:
    const Dependencies dependencies_;
    std::map<std::string, Seconds> observed_at_;  // by job id
    // All cancellations committed before this time are known; empty until the records have been read.
    std::optional<Seconds> records_known_until_;
    // All cancellations confirmed to users before this time are known.
    std::optional<Seconds> cancellations_known_until_;
};

}  // namespace hareshore

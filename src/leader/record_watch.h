// Reads the records of unfinished jobs into the job table: all of them when a term begins, then their
// changes.
#pragma once
#include "jobs/job_table.h"
#include "leader/cancellation_guard.h"
#include "leader/finished_jobs.h"
#include "leader/pass_requests.h"
#include "state/store_client.h"

namespace hareshore {

// A record that cannot be read is quarantined: nothing is decided about its job.
class RecordWatch {
  public:
    // The parts of the leader that this one uses; all outlive it.
    struct Parts {
        Loop& loop;
        StoreClient& store;
        JobTable& jobs;
        Cluster& cluster;
        CancellationGuard& cancellations;
        PassRequests& pass_requests;
    };
    explicit RecordWatch(const Parts& parts) : parts_(parts) {}

    // Reads all records; false if the store did not return one of the pages.
    Task<bool> read_all();
    // Follows the changes after read_all(), until it is cancelled.
    Task<void> follow();
    // Reads one job's record anew: it has another mod revision than this leader expected, since its user has
    // cancelled the job or the answer to a transaction was lost.
    Task<void> reread(std::string job_id);
    // The job's final record was written at `revision`: it leaves the table.
    void finish(const std::string& job_id, uint64_t revision);

  private:
    void apply(const KeyChange& change);
    void quarantine(const KeyChange& change);

    const Parts parts_;
    Revision revision_ = kAbsentRevision;  // all changes up to it have been read
    FinishedJobs finished_;
};

}  // namespace hareshore

// Loads the records of unfinished jobs into the job table when a term begins, then watches their changes.
#pragma once
#include "jobs/job_table.h"
#include "leader/cancellation_guard.h"
#include "leader/finished_jobs.h"
#include "leader/pass_requests.h"
#include "state/store_client.h"

namespace hareshore {

// A job whose record cannot be read is quarantined: no decision is made about it.
class RecordWatch {
  public:
    // All must outlive the watch.
    struct Dependencies {
        Loop& loop;
        const Config& config;
        StoreClient& store;
        JobTable& jobs;
        Cluster& cluster;
        CancellationGuard& cancellations;
        PassRequests& pass_requests;
    };
    explicit RecordWatch(const Dependencies& dependencies) : dependencies_(dependencies) {}

    // Reads all records; false if the store failed to return one of the pages.
    Task<bool> read_all();
    // Applies the changes after read_all(), until it is cancelled.
    Task<void> watch_changes();
    // Reads one job's record again after a conflict: its mod revision is not the expected one, because a user
    // has cancelled the job or the response to a transaction was lost.
    Task<void> reload_record(std::string job_id);
    // Removes a job from the table, after its final record was written at `revision`.
    void remove_finished_job(const std::string& job_id, uint64_t revision);

  private:
    void apply(const KeyChange& change);
    void set_missing_cancellation_time(JobRecord& record, WallTime wall) const;
    void quarantine(const KeyChange& change);

    const Dependencies dependencies_;
    Revision revision_ = kAbsentRevision;  // all changes up to it have been applied
    FinishedJobs finished_;
};

}  // namespace hareshore

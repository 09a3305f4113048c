// Writes the changes of jobs to their records in the key-value store.
#pragma once
#include <set>
#include <string>
#include <vector>

#include "base/token_bucket.h"
#include "jobs/table.h"
#include "leader/leadership.h"
#include "leader/record_watch.h"
#include "leader/worker_connections.h"

namespace hareshore {

// One compare-and-swap transaction at a time, each conditioned on the leadership key and on the records' mod
// revisions, so that a late copy of it can change nothing.
class RecordWriter {
  public:
    // The parts of the leader that this one uses; all outlive it.
    struct Parts {
        Loop& loop;
        const Config& config;
        StoreClient& store;
        RecordFormat& record_format;
        const LeaderTerm& term;
        Leadership& leadership;
        JobTable& jobs;
        RecordWatch& record_watch;
        WorkerConnections& connections;
        PassRequests& pass_requests;
    };
    explicit RecordWriter(const Parts& parts);

    // Writes what has changed, until it is cancelled or the term is over.
    Task<void> run();
    // Raises the record format in force to the newest once every controller reads it, so that whoever leads
    // next does. The key is put once and stays.
    Task<void> raise_record_format();
    // Jobs may have changed.
    void notify_changed() {
        if (parts_.jobs.any_dirty()) changed_.notify();
    }

  private:
    struct Batch {
        Transaction transaction;
        std::vector<std::string> job_ids;
        std::set<std::string> final_ids;  // of these, the jobs that have ended
    };
    enum class DeferReason : uint8_t { kTooLarge, kRefused };

    void follow_record_format();
    std::vector<Job*> choose_jobs();
    Batch build_batch(const std::vector<Job*>& jobs);
    bool add_live_record(Job& job, Transaction& transaction);
    void accept_commit(const Batch& batch, uint64_t revision);
    void defer_refused(const std::string& job_id);
    void requeue(const Batch& batch);
    Task<void> reread_conflicts(const Batch& batch, const TransactionResult& result);
    Task<void> back_off(StoreStatus status);
    void defer(Job& job, uint64_t version, DeferReason reason) const;

    const Parts parts_;
    uint64_t record_format_;  // in which records are written
    TokenBucket writes_;      // this leader's share of the store's write rate
    Seconds retry_pause_ = 0;
    size_t singles_left_ = 0;  // so many records are written one by one, to find the one that is refused
    Condition changed_;
};

}  // namespace hareshore

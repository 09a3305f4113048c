// Writes changed jobs to their records in the key-value store.
#pragma once
#include <set>
#include <string>
#include <vector>

#include "base/token_bucket.h"
#include "jobs/job_table.h"
#include "leader/leadership.h"
#include "leader/record_watch.h"
#include "leader/worker_connections.h"

namespace hareshore {

// Commits one compare-and-swap transaction at a time. Each is conditioned on the leadership key and on the
// records' mod revisions, so a copy that arrives late changes nothing.
class RecordWriter {
  public:
    // All must outlive the writer.
    struct Dependencies {
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
    explicit RecordWriter(const Dependencies& dependencies);

    // Writes changed records until it is cancelled or the term is over.
    Task<void> run();
    // Upgrades the records to the newest format once every controller, and thus any later leader, can read
    // it. The record format key is written once and never changed back.
    Task<void> raise_record_format();
    // Wakes run() if there are unwritten changes.
    void notify_changed() {
        if (dependencies_.jobs.has_unwritten()) changed_.notify();
    }

  private:
    struct Batch {
        Transaction transaction;
        std::vector<std::string> job_ids;
        std::set<std::string> final_ids;  // the jobs in job_ids that have ended
    };
    enum class DeferReason : uint8_t { kTooLarge, kRefused };

    void apply_record_format_change();
    std::vector<Job*> choose_jobs();
    Batch build_batch(const std::vector<Job*>& jobs);
    bool add_live_record(Job& job, Transaction& transaction);
    void accept_commit(const Batch& batch, uint64_t revision);
    void defer_refused(const std::string& job_id);
    void queue_write(const Batch& batch);
    Task<void> reload_conflicting_records(const Batch& batch, const TransactionResult& result);
    Task<void> back_off(StoreStatus status);
    void defer(Job& job, uint64_t version, DeferReason reason) const;

    const Dependencies dependencies_;
    uint64_t record_format_;    // that records are written in
    TokenBucket write_tokens_;  // this leader's share of the store's write rate
    Seconds retry_pause_ = 0;
    // How many more records are written in transactions of their own, to find the one that the store refuses.
    size_t single_writes_left_ = 0;
    Condition changed_;
};

}  // namespace hareshore

// Reads records of unfinished jobs for users' requests. Normally each record is read on its own. While
// the key-value store rejects reads because of its rate limit, waiting reads are batched: one listing serves
// them all.
#pragma once
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "loop/loop.h"
#include "state/store_client.h"

namespace hareshore {

class RecordReader {
  public:
    // Both must outlive the reader.
    RecordReader(Loop& loop, StoreClient& store) : loop_(loop), store_(store), listing_tasks_(loop) {}

    // The job's record as of some point in time after the call, so that no read is older than one that
    // completed before. kNotFound if there is no unfinished job with this id; kNotExecuted if `deadline` on
    // the loop's clock passed.
    Task<GetResult> read(std::string job_id, Seconds deadline);

    // Cancels the listing in progress; its coroutine unwinds in the next iterations of the loop.
    void stop() { listing_tasks_.cancel(); }

  private:
    // One listing of all unfinished jobs and the reads that it serves. It starts after they were requested.
    struct Listing {
        explicit Listing(Loop& loop) : completion(loop) {}
        std::set<std::string> requested_keys;
        std::map<std::string, Entry> found;
        StoreStatus status = StoreStatus::kNotExecuted;
        bool completed = false;
        Condition completion;
    };

    [[nodiscard]] bool recently_rate_limited() const;
    Task<GetResult> read_from_listing(std::string key, Seconds deadline);
    Task<void> run_listings();
    Task<void> read_pages(Listing& listing);

    Loop& loop_;
    StoreClient& store_;
    std::optional<Seconds> rate_limited_at_;  // when the store last rejected a read because of its rate limit
    std::optional<Seconds> last_listing_at_;
    std::shared_ptr<Listing> pending_listing_;  // not started yet; null if no read is waiting
    bool listing_in_progress_ = false;          // run_listings() is running
    TaskGroup listing_tasks_;
};

}  // namespace hareshore

// Reads records of unfinished jobs for users' requests. Usually each is read by itself. While the key-value
// store refuses reads for its rate limit, the waiting ones are answered together from one listing.
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

    // The record of the job as it was at some moment after the call, so that no answer is older than one that
    // was given before. kNotFound if the job is not unfinished; kNotExecuted if `until` on the loop's clock
    // passed.
    Task<GetResult> read(std::string job_id, Seconds until);

    // Cancels the listing in progress; its coroutine unwinds in the loop's next turns.
    void stop() { listing_tasks_.cancel(); }

  private:
    // One listing of all unfinished jobs, and the reads that it answers. It begins after they were requested.
    struct Listing {
        explicit Listing(Loop& loop) : done(loop) {}
        std::set<std::string> wanted;  // keys
        std::map<std::string, Entry> found;
        StoreStatus status = StoreStatus::kNotExecuted;
        bool is_done = false;
        Condition done;
    };

    [[nodiscard]] bool rate_limited_lately() const;
    Task<GetResult> read_from_listing(std::string key, Seconds until);
    Task<void> run_listings();
    Task<void> run(Listing& listing);

    Loop& loop_;
    StoreClient& store_;
    std::optional<Seconds> rate_limited_at_;  // when a read was last refused for the rate limit
    std::optional<Seconds> last_listing_at_;
    std::shared_ptr<Listing> next_;  // has not begun; null if no read waits for it
    bool running_ = false;           // run_listings() is in progress
    TaskGroup listing_tasks_;
};

}  // namespace hareshore

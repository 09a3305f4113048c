// Reads records of unfinished jobs for users' requests. Usually each is read by itself. While the state
// service refuses reads for its rate, those that wait are answered together from one listing.
#pragma once
#include <map>
#include <memory>
#include <set>

#include "loop/loop.h"
#include "state/store_client.h"

namespace hareshore {

class RecordReader {
  public:
    RecordReader(Loop& loop, StoreClient& state) : loop_(loop), state_(state), scope_(loop) {}
    // The job's record as it was at some moment after the call, so that no answer is older than one that was
    // given before.
    Task<GetResult> read(std::string job_id, Seconds until);

    // Cancels what is under way; the loop unwinds it in its next turns.
    void stop() { scope_.cancel(); }

  private:
    // One listing of all unfinished jobs, and the reads that it answers. It begins after they came.
    struct Listing {
        explicit Listing(Loop& loop) : done(loop) {}
        std::set<std::string> wanted;  // keys
        std::map<std::string, Entry> found;
        StoreStatus status = StoreStatus::kNotExecuted;
        bool is_done = false;
        Condition done;
    };

    bool rate_exceeded_lately() const;
    Task<GetResult> read_from_listing(std::string key, Seconds until);
    Task<void> run_listings();
    Task<void> run(Listing& listing);

    Loop& loop_;
    StoreClient& state_;
    Seconds rate_exceeded_at_ = -1;  // when a read was last refused for the rate; -1: never
    Seconds last_listing_at_ = -1;
    std::shared_ptr<Listing> next_;  // has not begun; null if no read waits for it
    bool running_ = false;
    TaskGroup scope_;
};

}  // namespace hareshore

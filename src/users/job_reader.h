// Reads the current state of a job for users' requests, with monotonic reads on this controller.
#pragma once
#include <set>
#include <string>

#include "users/record_reader.h"
#include "users/response_history.h"

namespace hareshore {

class JobReader {
  public:
    // All must outlive the reader. It adds the ended jobs that it reads to `history`.
    JobReader(Loop& loop, StoreClient& store, ResponseHistory& history)
        : loop_(loop), store_(store), history_(history), records_(loop, store) {}

    // The job's state, no older than any in this controller's earlier responses. Fails with kUnavailable once
    // `deadline` on the loop's clock has passed.
    Task<JobStateResult> read(std::string id, Seconds deadline);

    // Whether the key-value store has not responded for some time. Reads fail at once then, instead of
    // letting users wait for a timeout. The election's watches, which end every 2 s, detect its recovery.
    [[nodiscard]] bool store_unavailable() const;

    // Cancels reads in progress; their coroutines unwind in the next iterations of the loop.
    void stop() { records_.stop(); }

  private:
    Task<JobStateResult> read_records(std::string id, Seconds deadline);
    Task<JobStateResult> read_final_record(std::string id, Seconds deadline);
    JobStateResult parse_live_record(const std::string& id, const Entry& entry);

    Loop& loop_;
    StoreClient& store_;
    ResponseHistory& history_;
    RecordReader records_;
    std::set<std::string> logged_unreadable_;  // ids of jobs whose unreadable record has been logged
};

}  // namespace hareshore

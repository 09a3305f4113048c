// Reads the current state of a job for users' requests.
#pragma once
#include <set>
#include <string>

#include "users/answer_history.h"
#include "users/record_reader.h"

namespace hareshore {

class JobReader {
  public:
    // All must outlive the reader. It adds the ended jobs that it reads to `history`.
    JobReader(Loop& loop, StoreClient& store, AnswerHistory& history)
        : loop_(loop), store_(store), history_(history), records_(loop, store) {}

    // The job's state, no older than any that this controller has answered. Gives up at `until` on the loop's
    // clock.
    Task<JobStateResult> read(std::string id, Seconds until);

    // Whether the key-value store has not answered for some time. Reads are not even tried then: users would
    // wait for answers that do not come. The election's watches, which end every 2 s, notice when it is back.
    [[nodiscard]] bool store_unavailable() const;

    // Cancels reads in progress; their coroutines unwind in the loop's next turns.
    void stop() { records_.stop(); }

  private:
    Task<JobStateResult> read_records(std::string id, Seconds until);
    Task<JobStateResult> read_final_record(std::string id, Seconds until);
    JobStateResult parse_live_record(const std::string& id, const Entry& entry);

    Loop& loop_;
    StoreClient& store_;
    AnswerHistory& history_;
    RecordReader records_;
    std::set<std::string> logged_unreadable_;  // jobs whose unreadable record was logged
};

}  // namespace hareshore

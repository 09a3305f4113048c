// Jobs whose final record was written, against changes of their live record that are delivered later.
#pragma once
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace hareshore {

// Remembers the last kFinalStateCacheSize jobs.
class FinishedJobs {
  public:
    // `revision`: at which the final record was written.
    void add(const std::string& job_id, uint64_t revision);
    // Whether the change of the job's live record is from before its end.
    [[nodiscard]] bool ended_after(const std::string& job_id, uint64_t mod_revision) const;

  private:
    std::unordered_map<std::string, uint64_t> revisions_;
    std::deque<std::string> oldest_first_;
};

}  // namespace hareshore

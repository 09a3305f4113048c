// Recently finished jobs, so that changes of their live records that are delivered late can be ignored.
#pragma once
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace hareshore {

// Remembers the last kFinalStateCacheSize jobs.
class FinishedJobs {
  public:
    // `revision`: of the store when the final record was written.
    void add(const std::string& job_id, uint64_t revision);
    // Whether the job has ended after the change of its live record at `mod_revision`.
    [[nodiscard]] bool ended_after(const std::string& job_id, uint64_t mod_revision) const;

  private:
    std::unordered_map<std::string, uint64_t> revisions_;
    std::deque<std::string> oldest_first_;
};

}  // namespace hareshore

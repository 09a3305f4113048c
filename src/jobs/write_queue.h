// The queue of jobs whose records have unwritten changes, oldest change first.
#pragma once
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "jobs/job.h"

namespace hareshore {

using JobMap = std::unordered_map<std::string, std::unique_ptr<Job>>;  // by id

// The limits of one transaction.
struct WriteLimits {
    size_t operations = 0;
    size_t bytes = 0;  // of records; a single record above the limit is taken on its own
};

class WriteQueue {
  public:
    // Adds the job at the end unless it is already queued.
    void add(const std::string& job_id);
    // Removes and returns jobs from the front, as many as the limits allow. Jobs without unwritten changes,
    // and those that are no longer in `jobs`, are dropped.
    std::vector<Job*> take(const JobMap& jobs, const WriteLimits& limits, uint64_t record_format);
    [[nodiscard]] size_t size() const { return ids_.size(); }
    void clear();

  private:
    std::vector<std::string> ids_;  // in order of change
    std::set<std::string> queued_;  // the same ids as in ids_
};

}  // namespace hareshore

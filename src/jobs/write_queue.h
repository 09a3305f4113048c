// The jobs whose records wait to be written, oldest change first.
#pragma once
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "jobs/job.h"

namespace hareshore {

using JobMap = std::unordered_map<std::string, std::unique_ptr<Job>>;  // by id

// What one transaction holds at most.
struct WriteLimits {
    size_t operations = 0;
    size_t bytes = 0;  // of records; a single larger one is taken all the same
};

class WriteQueue {
  public:
    // Adds the job at the end unless it is queued already.
    void add(const std::string& job_id);
    // Takes jobs with unwritten changes off the front, as far as the limits allow. Jobs that are written or
    // no longer in `jobs` are dropped.
    std::vector<Job*> take(const JobMap& jobs, const WriteLimits& limits, uint64_t record_format);
    [[nodiscard]] size_t size() const { return ids_.size(); }
    void clear();

  private:
    std::vector<std::string> ids_;  // in order of change
    std::set<std::string> queued_;  // what ids_ holds
};

}  // namespace hareshore

#include "leader/finished_jobs.h"

#include "base/constants.h"

namespace hareshore {

void FinishedJobs::add(const std::string& job_id, uint64_t revision) {
    revisions_[job_id] = revision;
    oldest_first_.push_back(job_id);
    if (oldest_first_.size() > constants::kFinalStateCacheSize) {
        revisions_.erase(oldest_first_.front());
        oldest_first_.pop_front();
    }
}

bool FinishedJobs::ended_after(const std::string& job_id, uint64_t mod_revision) const {
    auto it = revisions_.find(job_id);
    return it != revisions_.end() && mod_revision <= it->second;
}

}  // namespace hareshore

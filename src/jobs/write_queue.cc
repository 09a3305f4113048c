#include "jobs/write_queue.h"

namespace hareshore {

namespace {

// The number of store operations that write the job. The record of a job that has ended moves to another key.
size_t operations_of(const Job& job) {
    return job.finished() || job.cancelled ? 2 : 1;
}

}  // namespace

void WriteQueue::add(const std::string& job_id) {
    if (queued_.insert(job_id).second) ids_.push_back(job_id);
}

std::vector<Job*> WriteQueue::take(const JobMap& jobs, const WriteLimits& limits, uint64_t record_format) {
    std::vector<Job*> taken;
    std::vector<std::string> remaining;
    size_t operations = 0;
    size_t bytes = 0;
    bool full = false;
    for (auto& id : ids_) {
        auto found = jobs.find(id);
        Job* job = found == jobs.end() ? nullptr : found->second.get();
        if (!job || !job->persistence.unwritten()) {
            queued_.erase(id);
            continue;
        }
        size_t job_operations = operations_of(*job);
        size_t job_bytes = job->record_bytes(record_format);
        full = full || operations + job_operations > limits.operations ||
               (bytes > 0 && bytes + job_bytes > limits.bytes);
        if (full) {
            remaining.push_back(std::move(id));
            continue;
        }
        operations += job_operations;
        bytes += job_bytes;
        queued_.erase(id);
        taken.push_back(job);
    }
    ids_ = std::move(remaining);
    return taken;
}

void WriteQueue::clear() {
    ids_.clear();
    queued_.clear();
}

}  // namespace hareshore

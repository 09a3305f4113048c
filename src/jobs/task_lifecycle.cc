#include "jobs/task_lifecycle.h"

namespace hareshore {

TaskState task_state(const Job& job, uint32_t task) {
    auto placed = job.live.find(task);
    if (placed != job.live.end()) return placed_state(job, placed->second);
    return job.done.has(task) ? TaskState::kDone : TaskState::kPending;
}

}  // namespace hareshore

#include "jobs/record.h"

namespace hareshore {

JobPhase JobRecord::phase() const {
    if (cancelled) return JobPhase::kCancelled;
    return live.empty() ? JobPhase::kPending : JobPhase::kRunning;
}

}  // namespace hareshore

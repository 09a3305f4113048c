#include "jobs/record.h"

#include "http/json_size.h"

namespace hareshore {

JobPhase JobRecord::phase() const {
    if (cancelled) return JobPhase::kCancelled;
    return live.empty() ? JobPhase::kPending : JobPhase::kRunning;
}

std::optional<std::string> JobRecord::pack_within(size_t max_json_bytes, uint64_t record_format) const {
    std::string packed = pack(record_format);
    if (json_size(packed) <= max_json_bytes) return packed;
    if (!cancelled_wall) return std::nullopt;
    JobRecord without_time = *this;
    without_time.cancelled_wall.reset();
    return without_time.pack_within(max_json_bytes, record_format);
}

}  // namespace hareshore

#include "jobs/job.h"

#include <algorithm>

#include "base/constants.h"

namespace hareshore {

bool Job::skips_saving() const {
    return spec.checkpoint_s > 0 && spec.checkpoint_s <= constants::kSkipCheckpointMaxSaves * spec.save_s;
}

uint32_t Job::running_replicas() const {
    return static_cast<uint32_t>(std::count_if(live.begin(), live.end(), [](const auto& entry) {
        const Placement& replica = entry.second;
        return replica.phase == TaskPhase::kRunning && !replica.stopping;
    }));
}

Seconds Job::deadline(const Config& config) const {
    if (spec.due_s) return accepted + *spec.due_s;
    auto objective = config.finish_within.find(spec.job_class);
    bool has_objective = objective != config.finish_within.end();
    return accepted + (has_objective ? objective->second : constants::kNoExpectedEnd_s);
}

bool Job::likely_late(const Config& config, Seconds now) const {
    if (spec.service()) return false;  // a service has no end
    return now + constants::kLateEstimateShare * spec.estimate_s > deadline(config);
}

int Job::missed_objectives(const Config& config, Seconds now) const {
    // A service counts the time during which it is down, so a late start makes its next start more urgent.
    if (spec.service()) return 0;
    int missed = likely_late(config, now) ? 1 : 0;
    auto waits = config.wait_within.find(spec.job_class);
    // If all pending tasks have started before, only the objective for the end can still be missed.
    if (waits == config.wait_within.end() || run_times.interrupted.covers(pending)) return missed;
    for (Seconds within : waits->second)
        if (now + constants::kExpectedStartLatency_s > accepted + within) ++missed;
    return missed;
}

JobRecord Job::to_record() const {
    JobRecord record;
    record.spec = spec;
    record.accepted_wall = accepted_wall;
    record.cancelled = cancelled;
    if (cancelled) record.cancelled_wall = WallTime{accepted_wall.since_epoch + (cancelled_at - accepted)};
    record.done = done;
    record.next_attempt = next_attempt;
    for (const auto& [task, placement] : live)
        record.live[task] = {placement.attempt, placement.machine, placement.zone};
    return record;
}

}  // namespace hareshore

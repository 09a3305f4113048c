#include "scheduler/zone_rule.h"

namespace hareshore {

ZoneRule::ZoneRule(const Job& job) : job_(job) {
    if (!job.spec.single_zone && !job.spec.spread_across_zones)
        return;  // no zone constraint to count for; an array may have thousands of placements
    for (const auto& [task, placement] : job.live) ++placed_[placement.zone];
}

uint32_t ZoneRule::remaining(const std::string& zone) const {
    const JobSpec& spec = job_.spec;
    if (!spec.zone.empty() && spec.zone != zone) return 0;
    auto it = placed_.find(zone);
    uint32_t placed_here = it == placed_.end() ? 0 : it->second;
    if (spec.single_zone)
        for (const auto& [other_zone, placed] : placed_)
            if (placed > 0 && other_zone != zone) return 0;
    if (spec.spread_across_zones) {
        uint32_t max_per_zone = (spec.tasks + 1) / 2;
        return placed_here >= max_per_zone ? 0 : max_per_zone - placed_here;
    }
    return spec.tasks;
}

std::vector<std::string> zones_to_try(const JobSpec& spec, const Config& config) {
    return spec.single_zone ? config.zones : std::vector<std::string>{""};
}

}  // namespace hareshore

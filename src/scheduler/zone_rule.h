// The zones in which the tasks of a job may start. No I/O.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "config/config.h"
#include "jobs/job_table.h"

namespace hareshore {

// Counts a job's placements by zone and applies the job's zone constraints to further placements.
class ZoneRule {
  public:
    // Starts with the job's live placements; the job must outlive the rule.
    explicit ZoneRule(const Job& job);
    // How many more tasks may be placed in the zone.
    [[nodiscard]] uint32_t remaining(const std::string& zone) const;
    // Counts one more placement in the zone.
    void add(const std::string& zone) { ++placed_[zone]; }

  private:
    const Job& job_;
    std::map<std::string, uint32_t> placed_;
};

// The zones to try in turn for all tasks of a job: each zone separately if the job must run in a single
// zone, else one empty name that stands for all zones together.
std::vector<std::string> zones_to_try(const JobSpec& spec, const Config& config);

}  // namespace hareshore

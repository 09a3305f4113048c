// The zones in which the tasks of a job may start. No I/O.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "config/config.h"
#include "jobs/job_table.h"

namespace hareshore {

// Counts a job's placements by zone and applies its zone constraints to further ones.
class ZoneRule {
  public:
    // Starts from the job's live placements; the job must outlive the rule.
    explicit ZoneRule(const Job& job);
    // How many more tasks may be placed in the zone.
    [[nodiscard]] uint32_t remaining(const std::string& zone) const;
    // Counts one more placement in the zone.
    void add(const std::string& zone) { ++placed_[zone]; }

  private:
    const Job& job_;
    std::map<std::string, uint32_t> placed_;
};

// The zones that are tried one after the other for all tasks of a job: each zone alone if the job is bound to
// a single one, else one empty name, which stands for all zones together.
std::vector<std::string> zones_to_try(const JobSpec& spec, const Config& config);

}  // namespace hareshore

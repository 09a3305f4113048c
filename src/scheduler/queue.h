// The order in which waiting jobs are served, and the zones in which their tasks may start. No I/O; time is a
// parameter.
#pragma once
#include <vector>

#include "config/config.h"
#include "jobs/table.h"

namespace hareshore {

// What a scheduling pass is given.
struct SchedulerInput {
    const Config& config;
    const Settings& settings;
    Seconds now;
    // Machines whose reports ask for work now: the one that reports, and those whose reports are held.
    std::vector<Machine*> requesting_machines;
    uint64_t record_format;  // of the records that are written now
    uint64_t* steps =
        nullptr;  // counts the steps taken, machines looked at above all; for tests of their growth
};

// Jobs that fit into their team's guarantee together with the team's earlier unfinished jobs.
std::set<const Job*> jobs_within_guarantee(const Config& config, const JobTable& jobs);

// The waiting jobs in the order in which they are served: those that would else starve, services of
// production rank, work within a guarantee, then by priority, aged jobs before others, oldest first.
struct QueuedJob {
    Job* job = nullptr;
    bool first = false;    // a service of production rank: goes before all that has not starved
    bool starved = false;  // nothing of it has begun for so long that it goes before all others
    bool within_guarantee = false;
    bool aged = false;
    int lost = 0;  // aims that it misses whatever is done: after those that can still make more of them
};
std::vector<QueuedJob> queue_order(const JobTable& jobs, const SchedulerInput& in,
                                   const std::set<const Job*>& within_guarantee);

// What none of the jobs asks less than: a machine without it need not be offered to each.
Resources least_of(const std::vector<QueuedJob>& jobs);

// The zones in which tasks of the job may start now, and how many more in each.
class ZoneRule {
  public:
    explicit ZoneRule(const Job& job);
    uint32_t room(const std::string& zone) const;
    void add(const std::string& zone) { ++in_zone_[zone]; }

  private:
    const Job& job_;
    std::map<std::string, uint32_t> in_zone_;
};

}  // namespace hareshore

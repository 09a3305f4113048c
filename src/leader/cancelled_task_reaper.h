// Ends the tasks of cancelled jobs that do not end by themselves: repeats their stop commands and deletes the
// machines that keep them.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "fleet/cancelled_tasks.h"
#include "leader/machine_deletion.h"

namespace hareshore {

class CancelledTaskReaper {
  public:
    // All must outlive the reaper.
    struct Dependencies {
        Loop& loop;
        const Config& config;
        const Leadership& leadership;
        JobTable& jobs;
        const Cluster& cluster;
        MachineDeletion& deletion;
    };
    explicit CancelledTaskReaper(const Dependencies& dependencies) : dependencies_(dependencies) {}

    // To be called every kScalingInterval_s. `receiving_since`: since when heartbeats could be received.
    void run_once(Seconds receiving_since);

  private:
    struct LoggedCondition {
        std::string_view text;
        Seconds logged_at = 0;
    };

    void delete_machines(Seconds receiving_since);
    void resend_stops();
    void log_remaining(const std::vector<MachineWithCancelledTask>& machines, bool may_delete,
                       Seconds receiving_since);

    const Dependencies dependencies_;
    std::optional<Seconds> stops_resent_at_;
    std::map<std::string, LoggedCondition> logged_;  // by machine
};

}  // namespace hareshore

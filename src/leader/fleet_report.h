// Logs waiting jobs, the state of the fleet and the use of its GPU time at regular intervals.
#pragma once
#include <optional>

#include "leader/scheduling_loop.h"

namespace hareshore {

class FleetReport {
  public:
    // All must outlive the report.
    struct Dependencies {
        Loop& loop;
        const JobTable& jobs;
        const Cluster& cluster;
        SchedulingLoop& scheduling;
    };
    explicit FleetReport(const Dependencies& dependencies) : dependencies_(dependencies) {}

    // Adds `elapsed` seconds of each machine's GPUs to the totals by their current use. The machines must
    // have been recounted.
    void account_gpu_time(Seconds elapsed);
    // Logs each job that has waited for at least kWaitLogInterval_s, with the reason, and the fleet; each at
    // most every kWaitLogInterval_s.
    void log_all();

  private:
    // GPU seconds since this leader's term began.
    struct GpuTime {
        double booting = 0;
        double idle = 0;      // on machines without tasks
        double unused = 0;    // free on machines with tasks
        double starting = 0;  // of tasks that are starting or stopping
        double running = 0;

        [[nodiscard]] double total() const { return booting + idle + unused + starting + running; }
    };

    void log_waiting_jobs() const;
    void log_fleet();
    void log_gpu_time() const;

    const Dependencies dependencies_;
    GpuTime gpu_time_;
    std::optional<Seconds> fleet_logged_at_;
};

}  // namespace hareshore

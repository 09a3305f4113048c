// Decides every kScalingInterval_s which machines to rent, drain and delete.
#pragma once
#include <map>
#include <optional>
#include <string>

#include "leader/cancelled_task_reaper.h"
#include "leader/fleet_report.h"
#include "leader/machine_deletion.h"
#include "leader/machine_rental.h"

namespace hareshore {

class FleetScaler {
  public:
    // All must outlive the scaler.
    struct Dependencies {
        Loop& loop;
        const Config& config;
        const Settings& settings;
        uint64_t fencing_token;
        const Leadership& leadership;
        const TermLifecycle& lifecycle;
        JobTable& jobs;
        Cluster& cluster;
        PassRequests& pass_requests;
        SchedulingLoop& scheduling;
        MachineRental& rental;
        MachineDeletion& deletion;
        CancelledTaskReaper& cancelled_task_reaper;
        FleetReport& report;
    };
    explicit FleetScaler(const Dependencies& dependencies) : dependencies_(dependencies) {}

    // Runs until it is cancelled; the records must have been loaded.
    Task<void> run();

  private:
    void record_stall(Seconds stalled_s);
    [[nodiscard]] bool may_scale() const;
    void scale();
    void log_partitions(const ScalingPlan& plan);
    void drain_machines(const ScalingPlan& plan);
    [[nodiscard]] Seconds receiving_since() const;

    const Dependencies dependencies_;
    std::optional<Seconds> stalled_until_;           // the end of this process's last stall
    std::map<std::string, Seconds> partitioned_at_;  // by zone: when it was last considered partitioned
};

}  // namespace hareshore

// Scaling in: deletes machines in the cloud.
#pragma once
#include <set>
#include <string>
#include <vector>

#include "cloud/cloud_client.h"
#include "fleet/scaling_plan.h"
#include "leader/deleted_machines.h"
#include "leader/leadership.h"
#include "leader/pass_requests.h"
#include "leader/term_lifecycle.h"
#include "leader/worker_connections.h"

namespace hareshore {

class MachineDeletion {
  public:
    // The parts of the leader that this one uses; all outlive it.
    struct Parts {
        Loop& loop;
        CloudClient& cloud;
        const Leadership& leadership;
        TermLifecycle& lifecycle;
        JobTable& jobs;
        Cluster& cluster;
        WorkerConnections& connections;
        DeletedMachines& deleted_machines;
        PassRequests& pass_requests;
    };
    explicit MachineDeletion(const Parts& parts) : parts_(parts) {}

    // Deletes the machines that the plan scales in, in portions that the cloud accepts. Each portion is
    // repeated until all its machines are deleted, or kept because they have reported again.
    void start(const std::vector<ScaleInDecision>& decisions);

  private:
    Task<void> delete_machines(std::vector<std::string> names, std::set<std::string> silent);
    [[nodiscard]] bool reported_again(const std::string& name, Seconds decided_at) const;
    [[nodiscard]] std::vector<std::string> allowed_now(const std::vector<std::string>& names) const;
    void confirm_deleted(const std::vector<std::string>& names);
    [[nodiscard]] bool holds_cancelled_task(const std::string& name) const;

    const Parts parts_;
};

}  // namespace hareshore

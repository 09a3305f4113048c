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
    // All must outlive this object.
    struct Dependencies {
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
    explicit MachineDeletion(const Dependencies& dependencies) : dependencies_(dependencies) {}

    // Deletes the machines that the plan scales in, in batches within the cloud's limit. The request for a
    // batch is retried until each of its machines is deleted, or kept because it has sent a heartbeat.
    void start(const std::vector<ScaleInDecision>& decisions);

  private:
    Task<void> delete_machines(std::vector<std::string> names, std::set<std::string> only_if_silent);
    [[nodiscard]] bool should_keep(const std::string& name, Seconds decided_at) const;
    [[nodiscard]] std::vector<std::string> deletable_now(const std::vector<std::string>& names) const;
    void apply_deletion(const std::vector<std::string>& names);
    [[nodiscard]] bool has_cancelled_task(const std::string& name) const;

    const Dependencies dependencies_;
};

}  // namespace hareshore

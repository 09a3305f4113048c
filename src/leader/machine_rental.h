// Scaling out: rents machines from the cloud.
#pragma once
#include <map>
#include <vector>

#include "cloud/cloud_client.h"
#include "fleet/scaling_plan.h"
#include "leader/deleted_machines.h"
#include "leader/leadership.h"
#include "leader/term_lifecycle.h"

namespace hareshore {

class MachineRental {
  public:
    // All must outlive this object.
    struct Dependencies {
        Loop& loop;
        CloudClient& cloud;
        uint64_t fencing_token;
        const Leadership& leadership;
        TermLifecycle& lifecycle;
        Cluster& cluster;
        const DeletedMachines& deleted_machines;
    };
    explicit MachineRental(const Dependencies& dependencies) : dependencies_(dependencies) {}

    // Requests the machines, in batches within the cloud's limit. Each batch is retried until the cloud has
    // responded.
    void start(ScaleOutRequest request);
    // Batches without a response so far.
    [[nodiscard]] const std::vector<ScaleOutRequest>& pending() const { return pending_; }
    // By machine kind: the time before which it must not be requested again, since the cloud had no capacity.
    [[nodiscard]] const std::map<MachineKind, Seconds>& no_capacity_until() const {
        return no_capacity_until_;
    }

  private:
    Task<void> rent(ScaleOutRequest batch);
    Task<void> wait_for_confirmed_lease();
    void add_rented(const ScaleOutRequest& batch, const std::vector<std::string>& names);
    void remove_pending(const ScaleOutRequest& batch);

    const Dependencies dependencies_;
    std::vector<ScaleOutRequest> pending_;
    std::map<MachineKind, Seconds> no_capacity_until_;
    uint64_t requests_ = 0;  // sent in this term; makes the idempotency keys unique
};

}  // namespace hareshore

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
    // The parts of the leader that this one uses; all outlive it.
    struct Parts {
        Loop& loop;
        CloudClient& cloud;
        uint64_t fencing_token;
        const Leadership& leadership;
        TermLifecycle& lifecycle;
        Cluster& cluster;
        const DeletedMachines& deleted_machines;
    };
    explicit MachineRental(const Parts& parts) : parts_(parts) {}

    // Requests the machines, in portions that the cloud accepts. Each portion is repeated until its answer is
    // known.
    void start(ScaleOutRequest request);
    // Portions without an answer so far.
    [[nodiscard]] const std::vector<ScaleOutRequest>& on_order() const { return on_order_; }
    // By kind of machine of which the cloud had none left: not to be requested again before this.
    [[nodiscard]] const std::map<MachineKind, Seconds>& refused_until() const { return refused_until_; }

  private:
    Task<void> rent(ScaleOutRequest portion);
    Task<void> wait_for_confirmed_lease();
    void add_rented(const ScaleOutRequest& portion, const std::vector<std::string>& names);
    void remove_from_order(const ScaleOutRequest& portion);

    const Parts parts_;
    std::vector<ScaleOutRequest> on_order_;
    std::map<MachineKind, Seconds> refused_until_;
    uint64_t requests_ = 0;  // in this term, for their idempotency keys
};

}  // namespace hareshore

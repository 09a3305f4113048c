// What the cloud lists: machines, and the machine types with their prices.
#pragma once
#include "cloud/cloud_client.h"
#include "cluster/cluster.h"
#include "leader/deleted_machines.h"
#include "leader/leadership.h"

namespace hareshore {

// Reads both lists again and again into the cluster.
class CloudInventory {
  public:
    // The parts of the leader that this one uses; all outlive it.
    struct Parts {
        Loop& loop;
        const Config& config;
        CloudClient& cloud;
        StoreClient& store;
        const LeaderTerm& term;
        Cluster& cluster;
        const DeletedMachines& deleted_machines;
    };
    explicit CloudInventory(const Parts& parts) : parts_(parts) {}

    // Each runs until it is cancelled.
    Task<void> follow_machines();
    Task<void> follow_machine_types();

  private:
    void add_listed(const ListedMachine& listed, Seconds requested_at);
    Task<void> store_machine_types();

    const Parts parts_;
    bool machine_types_stored_ = false;  // or given up, since the store would refuse them
};

}  // namespace hareshore

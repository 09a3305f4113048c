// Polls the cloud's lists of machines and of machine types with their prices.
#pragma once
#include "cloud/cloud_client.h"
#include "cluster/cluster.h"
#include "leader/deleted_machines.h"
#include "leader/leadership.h"

namespace hareshore {

// Updates the cluster from both lists.
class CloudInventory {
  public:
    // All must outlive the inventory.
    struct Dependencies {
        Loop& loop;
        const Config& config;
        CloudClient& cloud;
        StoreClient& store;
        const LeaderTerm& term;
        Cluster& cluster;
        const DeletedMachines& deleted_machines;
    };
    explicit CloudInventory(const Dependencies& dependencies) : dependencies_(dependencies) {}

    // Both run until cancelled.
    Task<void> poll_machines();
    Task<void> poll_machine_types();

  private:
    void add_listed(const ListedMachine& listed, Seconds requested_at);
    Task<void> store_machine_types();

    const Dependencies dependencies_;
    bool machine_types_stored_ = false;  // also set if the store does not accept them
};

}  // namespace hareshore

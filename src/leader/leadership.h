// What the controller provides to its leader: the term, the components that the leader uses, and the checks
// of its leadership that need the election and the peers.
#pragma once
#include <cstdint>
#include <string>

#include "cloud/cloud_client.h"
#include "cloud/machine_type.h"
#include "config/config.h"
#include "jobs/record_format.h"
#include "leader/loss_reason.h"
#include "state/store_client.h"

namespace hareshore {

// One term of leadership, as won in an election.
struct LeaderTerm {
    uint64_t fencing_token = 0;  // never reused; workers refuse commands with an older one
    uint64_t mod_revision = 0;   // of the leadership key; every write is conditioned on it
    std::string key;             // the leadership key
};

// The checks of one term that need the election and the peers. Owned by the leader; everything that it refers
// to must outlive the leader.
class Leadership {
  public:
    Leadership() = default;
    Leadership(const Leadership&) = delete;
    Leadership& operator=(const Leadership&) = delete;
    virtual ~Leadership() = default;

    // The time before which every cancellation confirmed to a user is known to this controller, given that
    // all those confirmed before `since` are known. At least `since`.
    [[nodiscard]] virtual Seconds cancellations_known_until(Seconds since) const = 0;
    // Whether this leader's lease is certain to be valid now.
    [[nodiscard]] virtual bool lease_confirmed() const = 0;
    // Whether no other leader can exist, even if the store does not confirm this leader's lease.
    [[nodiscard]] virtual bool no_other_leader() const = 0;
    // Whether every peer can read the newest record format.
    [[nodiscard]] virtual bool all_peers_upgraded() const = 0;
    // Ends the term, which is known to be over. The controller then stops the leader.
    virtual void step_down(LossReason reason) = 0;
};

// The components of the controller that a leader uses. All must outlive the leader.
struct LeaderEnvironment {
    Loop& loop;
    const Config& config;
    const Settings& settings;
    StoreClient& store;
    CloudClient& cloud;
    RecordFormat& record_format;
};

}  // namespace hareshore

// What a leader is given by the controller that runs it: its term, the parts that it uses, and the checks of
// its leadership that only the controller can make.
#pragma once
#include <cstdint>
#include <string>

#include "cloud/cloud_client.h"
#include "cloud/machine_type.h"
#include "config/config.h"
#include "jobs/record_format.h"
#include "state/store_client.h"

namespace hareshore {

// One term of leadership, as won in an election.
struct LeaderTerm {
    uint64_t fencing_token = 0;  // never reused; workers refuse commands with an older one
    uint64_t mod_revision = 0;   // of the leadership key: every write is conditioned on it
    std::string key;             // the leadership key
};

// The checks of one term that need the election and the peers. Owned by the leader; what it refers to must
// outlive the leader.
class Leadership {
  public:
    Leadership() = default;
    Leadership(const Leadership&) = delete;
    Leadership& operator=(const Leadership&) = delete;
    virtual ~Leadership() = default;

    // Until when all cancellations that were confirmed to users are known to this controller, given that all
    // those confirmed before `since` are. At least `since`.
    [[nodiscard]] virtual Seconds cancellations_known_until(Seconds since) const = 0;
    // Whether the lease on the leadership is certain to be held now.
    [[nodiscard]] virtual bool confirmed() const = 0;
    // Whether no other leader can exist, though the store may not confirm this one's lease.
    [[nodiscard]] virtual bool no_other_leader() const = 0;
    // Whether every peer reads the newest record format.
    [[nodiscard]] virtual bool all_peers_upgraded() const = 0;
    // Ends the term: there is proof that it is over. `reason` is for the log.
    virtual void deposed(const char* reason) = 0;
};

// The parts of the controller that a leader uses. All outlive it.
struct LeaderEnvironment {
    Loop& loop;
    const Config& config;
    const Settings& settings;
    StoreClient& store;
    CloudClient& cloud;
    RecordFormat& record_format;
};

}  // namespace hareshore

// The platform settings of a deployment. The platform writes them to a TOML file, which config_wire.cc reads.
// The operators' settings are in settings.h.
#pragma once
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/address.h"
#include "base/clock.h"
#include "config/config_error.h"
#include "config/settings.h"  // re-exported for callers that need both

namespace hareshore {

// Another controller of the deployment.
struct PeerAddress {
    std::string label;
    std::string zone;
    Address addr;  // on which it listens for its peers
};

// A team and its quota in CPUs and GPUs of running tasks.
struct Team {
    std::string name;
    double cpus = 0;      // guarantee; 0: none
    double cpus_max = 0;  // limit; 0: none
    double gpus = 0;      // guarantee; 0: none
    double gpus_max = 0;  // limit; 0: none
};

struct Config {
    std::string label;    // of this controller, unique in the deployment
    std::string zone;     // of this controller
    Address listen;       // for workers, users and operators
    Address peer_listen;  // for peers
    Address cloud;
    Address store;                   // the key-value store
    std::vector<PeerAddress> peers;  // the other controllers
    std::vector<std::string> zones;  // all zones of the deployment
    std::vector<Team> teams;

    Seconds skew_s = 0;  // maximum difference of wall clocks; only validated

    Seconds heartbeat_interval_s = 0;  // between heartbeats of a busy worker
    Seconds lease_s = 0;               // a worker without contact stops its tasks after this time
    // A task of a gang waits this long for the others. Only validated: workers enforce it.
    Seconds gang_wait_s = 0;
    // The tasks of a gang must be notified of the end of one of them within this time. Only validated.
    Seconds gang_peer_s = 0;
    Seconds cancel_s = 0;  // the tasks of a cancelled job must have stopped within this time; above lease_s
    // The time after which a lease granted to a worker has certainly expired on this controller's clock.
    [[nodiscard]] Seconds certain_lease_expiry_s() const;

    double store_rps = 0;    // requests per second that the store allows to all controllers together
    double write_rps = 0;    // writes per second: the smaller of the current and the announced limit
    size_t value_bytes = 0;  // JSON bytes of one value: the current limit
    size_t txn_ops = 0;      // conditions and writes of one transaction: the smaller of both limits
    // JSON bytes of one value: the announced limit, which the store enforces without notice from some time
    // after an upgrade on; SIZE_MAX if none is announced.
    size_t next_value_bytes = SIZE_MAX;
    // Maximum JSON bytes of a record in the given format, at most kTransactionBytes. The format of the
    // production version obeys the current limit. Records in later formats are written only after the upgrade
    // and must obey both limits.
    [[nodiscard]] size_t value_limit(uint64_t record_format) const;

    double cloud_rps = 0;    // requests per second that the cloud allows to all controllers together
    Seconds list_lag_s = 0;  // maximum lag of the cloud's list of machines; only validated

    size_t sockets = 0;    // sockets that this process may open
    size_t ram_bytes = 0;  // memory of this process; 0: unknown

    // By job class: the strictest objective for the time from submission to end.
    std::map<std::string, Seconds> finish_within;
    // By job class: the objectives for the time from submission to start.
    std::map<std::string, std::vector<Seconds>> wait_within;

    // The team with that name; null if there is none. Valid until `teams` changes.
    [[nodiscard]] const Team* team(const std::string& name) const;

    // Reads the file at `path`, or parses its content. Both throw ConfigError, whose text names the field.
    [[nodiscard]] static Config load(const std::string& path);
    [[nodiscard]] static Config parse(const std::string& text);
};

}  // namespace hareshore

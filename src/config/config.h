// The platform's settings of a deployment. The platform writes them to a TOML file, which config_wire.cc
// reads; the operators' own settings are in settings.h.
#pragma once
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/address.h"
#include "base/clock.h"
#include "config/config_error.h"
#include "config/settings.h"  // for those that need both

namespace hareshore {

// Another controller of the deployment.
struct PeerAddress {
    std::string label;
    std::string zone;
    Address addr;  // where it listens for its peers
};

// A team and its quota, in CPUs and GPUs of running tasks.
struct Team {
    std::string name;
    double cpus = 0;      // guaranteed; 0: none
    double cpus_max = 0;  // limit; 0: none
    double gpus = 0;      // guaranteed; 0: none
    double gpus_max = 0;  // limit; 0: none
};

struct Config {
    std::string label;    // of this controller, unique in the deployment
    std::string zone;     // of this controller
    Address listen;       // where workers, users and operators reach this controller
    Address peer_listen;  // where its peers do
    Address cloud;
    Address store;                   // the key-value store
    std::vector<PeerAddress> peers;  // the other controllers
    std::vector<std::string> zones;  // all of the deployment
    std::vector<Team> teams;

    Seconds skew_s = 0;  // by which wall clocks may differ; checked, but no decision depends on it

    Seconds heartbeat_interval_s = 0;  // between heartbeats of a busy worker
    Seconds lease_s = 0;               // a worker without contact stops its tasks after this
    Seconds gang_wait_s =
        0;  // a gang's task waits this long for the others; checked only: workers enforce it
    Seconds gang_peer_s = 0;  // a gang's tasks must hear of another's end within this; checked only
    Seconds cancel_s = 0;     // a cancelled job's tasks must have stopped within this; above lease_s

    double store_rps = 0;    // requests a second that the store allows all controllers together
    double write_rps = 0;    // writes a second, the smaller of today's and the announced limit
    size_t value_bytes = 0;  // JSON bytes of one value, today's limit
    size_t txn_ops = 0;      // conditions and writes of one transaction, the smaller of both limits
    // JSON bytes of one value under the limit that the store will put in force at some moment after an
    // upgrade, without notice; SIZE_MAX if none is announced.
    size_t next_value_bytes = SIZE_MAX;
    // Bytes of one value that records in the given format may use. Those of the production version's format
    // follow today's limit; records of later formats are written only after the upgrade and must keep within
    // both.
    [[nodiscard]] size_t value_limit(uint64_t record_format) const;

    double cloud_rps = 0;    // requests a second that the cloud allows all controllers together
    Seconds list_lag_s = 0;  // by which the cloud's list of machines may lag; checked only

    size_t sockets = 0;    // that this process may open
    size_t ram_bytes = 0;  // memory of this process; 0: unknown

    std::map<std::string, Seconds>
        finish_within;  // by job class: its strictest objective from submission to end
    std::map<std::string, std::vector<Seconds>>
        wait_within;  // by job class: objectives from submission to start

    // The team of that name; null if there is none. Valid as long as `teams` is not changed.
    [[nodiscard]] const Team* team(const std::string& name) const;

    // Reads the file at `path`, or its content. Both throw ConfigError, whose text names the field.
    [[nodiscard]] static Config load(const std::string& path);
    [[nodiscard]] static Config parse(const std::string& text);
};

}  // namespace hareshore

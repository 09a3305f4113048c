// The platform's settings file (TOML) and the operators' own settings (S-expressions), both checked.
#pragma once
#include <algorithm>
#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

#include "base/address.h"
#include "base/clock.h"

namespace hareshore {

struct ConfigError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct PeerAddress {
    std::string label, zone;
    Address addr;
};

struct Team {
    std::string name;
    double cpus = 0, cpus_max = 0, gpus = 0, gpus_max = 0;  // 0: no guarantee, no limit
};

struct Config {
    std::string label, zone;
    Address listen, peer_listen, cloud, state;
    std::vector<PeerAddress> peers;
    std::vector<std::string> zones;
    std::vector<Team> teams;
    Seconds skew_s = 0;
    Seconds heartbeat_interval_s = 0, lease_s = 0, gang_wait_s = 0, gang_peer_s = 0, cancel_s = 0;
    double state_rps = 0, write_rps = 0;
    size_t value_bytes = 0, txn_ops = 0;
    // The state service will lower its limits at some moment after an upgrade, without notice
    // (facts.state.next). txn_ops and write_rps are the smaller of both from the start; a value may be as
    // large as today until records of format 2 are written, and from then on as large as both allow.
    size_t next_value_bytes = SIZE_MAX;
    size_t value_limit(uint64_t record_format) const {
        return record_format < 2 ? value_bytes : std::min(value_bytes, next_value_bytes);
    }
    double cloud_rps = 0;
    Seconds list_lag_s = 0;
    size_t sockets = 0;
    size_t ram_bytes = 0;  // 0: not said

    std::map<std::string, Seconds> finish_within;  // by class: the strictest aim for a job to be done
    std::map<std::string, std::vector<Seconds>> wait_within;  // by class: the aims for its tasks to start

    const Team* team(const std::string& name) const;
    // Throws ConfigError with one line that names the field.
    static Config load(const std::string& path);
    static Config parse(const std::string& text);
};

// Operators' settings with their defaults; every name here is a name in the file.
struct Settings {
    Seconds hold_s = 10;          // a task is held this long for an idle holder of its image
    Seconds similar_age_s = 15;   // tasks whose ages differ by less may overtake for the cache's sake
    Seconds age_bound_s = 60;     // a task that waited longer goes first among those of its priority
    Seconds begin_bound_s = 150;  // a job of which nothing began for so long goes before all others
    int min_machines = 0;         // per zone: rented even without work
    int max_machines = 0;         // per zone; 0: as many as the cloud has
    int min_idle_machines = 0;    // per zone: kept ready for the next job
    Seconds idle_return_s = 20;   // a machine idle this long is returned
    Seconds calm_s = 30;  // no job for this long: idle machines go back at once, work is moved together
    Seconds preempt_after_s = 0;  // work waits this long before it preempts

    static Settings load(const std::string& path);
    // Throws ConfigError "line 3: ..."; an unknown name or a value out of range is an error.
    static Settings parse(const std::string& text);
};

}  // namespace hareshore

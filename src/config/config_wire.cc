// Reads the platform settings. Only this file contains the names of their fields.
#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <optional>
#include <string>

#include "base/constants.h"
#include "config/config.h"
#include "config/toml_guard.h"

namespace hareshore {

namespace {

using View = toml::node_view<const toml::node>;

// Bounds of numbers in the file. The upper ones are far above any deployment and far below overflow.
constexpr double kMaxNumber = 1e9;
constexpr double kMaxSkew_ms = 1e7;
constexpr double kMaxListLag_s = 1e6;
constexpr double kMinTransactionOperations = 2;  // one transaction moves a record to another key
constexpr double kMaxTransactionOperations = 1e6;
constexpr double kMinSockets = 16;
constexpr double kMaxSockets = 1e7;
constexpr double kMaxMemoryMb = 1e7;
constexpr double kBytesPerKb = 1024.0;

[[noreturn]] void fail(const std::string& field, const std::string& problem) {
    throw ConfigError(ConfigError::Kind::kInvalidValue, "settings: " + field + ": " + problem);
}

std::string read_text(View view, const std::string& field) {
    std::optional<std::string> text = view.value_exact<std::string>();
    if (!text || text->empty()) fail(field, "expected a non-empty string");
    return *text;
}

double read_number(View view, const std::string& field, double min, double max) {
    std::optional<double> number = view.value<double>();
    if (!number || !view.is_number()) fail(field, "expected a number");
    if (!std::isfinite(*number) || *number < min || *number > max) fail(field, "out of range");
    return *number;
}

double read_positive(View view, const std::string& field) {
    double number = read_number(view, field, 0, kMaxNumber);
    if (number <= 0) fail(field, "must be greater than 0");
    return number;
}

Address read_address(View view, const std::string& field) {
    std::optional<Address> address = Address::parse(read_text(view, field));
    if (!address) fail(field, "expected an IPv4 address and port such as 10.0.0.1:8080");
    return *address;
}

// The prefix, in error messages, of the fields of a list entry: "facts.teams[0].".
std::string entry_prefix(const char* list, size_t index) {
    std::string prefix = list;
    prefix += '[';
    prefix += std::to_string(index);
    prefix += "].";
    return prefix;
}

// Reads the sections of the file in order, one per function. Throws ConfigError for the first invalid field.
class ConfigReader {
  public:
    explicit ConfigReader(const toml::table& root) : root_(root) {}

    Config read() {
        read_addresses();
        read_peers();
        read_zones();
        read_teams();
        read_objectives();
        read_workers();
        read_store();
        read_announced_store_limits();
        read_cloud();
        read_machine_limits();
        return std::move(config_);
    }

  private:
    [[nodiscard]] View at(const char* path) const { return root_.at_path(path); }
    [[nodiscard]] double positive(const char* path) const { return read_positive(at(path), path); }
    [[nodiscard]] double number(const char* path, double min, double max) const {
        return read_number(at(path), path, min, max);
    }

    void read_addresses() {
        config_.label = read_text(at("label"), "label");
        config_.zone = read_text(at("site"), "site");
        config_.listen = read_address(at("client_listen"), "client_listen");
        config_.peer_listen = read_address(at("back"), "back");
        config_.cloud = read_address(at("endpoints.cloud"), "endpoints.cloud");
        config_.store = read_address(at("endpoints.state"), "endpoints.state");
    }

    void read_peers() {
        const toml::array* peers = at("siblings").as_array();
        if (!peers) return;
        for (size_t index = 0; index < peers->size(); ++index) {
            View entry(peers->get(index));
            std::string prefix = entry_prefix("siblings", index);
            PeerAddress peer;
            peer.label = read_text(entry["label"], prefix + "label");
            peer.zone = read_text(entry["site"], prefix + "site");
            peer.addr = read_address(entry["addr"], prefix + "addr");
            config_.peers.push_back(std::move(peer));
        }
    }

    void read_zones() {
        const toml::array* zones = at("facts.zones").as_array();
        if (!zones || zones->empty()) fail("facts.zones", "expected a non-empty list of zones");
        for (const toml::node& zone : *zones) config_.zones.push_back(read_text(View(&zone), "facts.zones"));
        config_.skew_s = number("facts.skew_ms", 0, kMaxSkew_ms) / 1000.0;
    }

    void read_teams() {
        const toml::array* teams = at("facts.teams").as_array();
        if (!teams) fail("facts.teams", "expected a list of teams");
        for (size_t index = 0; index < teams->size(); ++index) {
            View entry(teams->get(index));
            std::string prefix = entry_prefix("facts.teams", index);
            auto amount = [&](const char* name) {
                return entry[name] ? read_number(entry[name], prefix + name, 0, kMaxNumber) : 0.0;
            };
            Team team;
            team.name = read_text(entry["name"], prefix + "name");
            team.cpus = amount("cpus");
            team.cpus_max = amount("cpus_max");
            team.gpus = amount("gpus");
            team.gpus_max = amount("gpus_max");
            config_.teams.push_back(std::move(team));
        }
    }

    void read_objectives() {
        const toml::array* objectives = at("facts.objectives").as_array();
        if (!objectives) return;
        for (size_t index = 0; index < objectives->size(); ++index) {
            View entry(objectives->get(index));
            std::string kind = entry["kind"].value_or(std::string());
            bool to_finish = kind == "finished";
            if (!to_finish && kind != "wait") continue;
            std::string prefix = entry_prefix("facts.objectives", index);
            std::string job_class = read_text(entry["class"], prefix + "class");
            Seconds within = read_positive(entry["within_s"], prefix + "within_s");
            if (to_finish) {
                auto [strictest, inserted] = config_.finish_within.emplace(job_class, within);
                if (!inserted) strictest->second = std::min(strictest->second, within);
            } else {
                config_.wait_within[job_class].push_back(within);
            }
        }
    }

    void read_workers() {
        config_.heartbeat_interval_s = positive("facts.workers.report_s");
        config_.lease_s = positive("facts.workers.lease_s");
        config_.gang_wait_s = positive("facts.workers.gang_wait_s");
        config_.gang_peer_s = positive("facts.workers.gang_peer_s");
        config_.cancel_s = positive("facts.workers.cancel_s");
        if (config_.cancel_s <= config_.lease_s)
            fail("facts.workers.cancel_s", "must be greater than lease_s");
    }

    [[nodiscard]] size_t transaction_operations(const char* path) const {
        return static_cast<size_t>(number(path, kMinTransactionOperations, kMaxTransactionOperations));
    }

    void read_store() {
        config_.store_rps = positive("facts.state.rps");
        config_.write_rps = positive("facts.state.write_rps");
        config_.value_bytes = static_cast<size_t>(positive("facts.state.value_kb") * kBytesPerKb);
        config_.txn_ops = transaction_operations("facts.state.txn_ops");
    }

    void read_announced_store_limits() {
        View next = at("facts.state.next");
        if (!next) return;
        if (!next.is_table()) fail("facts.state.next", "expected a table");
        if (next["value_kb"]) {
            constexpr double kMinValueKb = constants::kSmallestValueLimit / kBytesPerKb;
            double value_kb = number("facts.state.next.value_kb", kMinValueKb, kMaxNumber);
            config_.next_value_bytes = static_cast<size_t>(value_kb * kBytesPerKb);
        }
        if (next["txn_ops"])
            config_.txn_ops = std::min(config_.txn_ops, transaction_operations("facts.state.next.txn_ops"));
        if (next["write_rps"])
            config_.write_rps = std::min(config_.write_rps, positive("facts.state.next.write_rps"));
    }

    void read_cloud() {
        config_.cloud_rps = positive("facts.cloud.rps");
        config_.list_lag_s = number("facts.cloud.list_lag_s", 0, kMaxListLag_s);
    }

    void read_machine_limits() {
        config_.sockets = constants::kDefaultSockets;
        if (at("facts.machine_limits.sockets"))
            config_.sockets =
                static_cast<size_t>(number("facts.machine_limits.sockets", kMinSockets, kMaxSockets));
        if (at("facts.machine_limits.ram_mb"))
            config_.ram_bytes = static_cast<size_t>(number("facts.machine_limits.ram_mb", 1, kMaxMemoryMb) *
                                                    kBytesPerKb * kBytesPerKb);
    }

    const toml::table& root_;
    Config config_;
};

}  // namespace

Config Config::parse(const std::string& text) {
    check_toml(text);
    try {
        return ConfigReader(toml::parse(text)).read();
    } catch (const toml::parse_error& error) {
        throw ConfigError(ConfigError::Kind::kSyntax, "settings: line " +
                                                          std::to_string(error.source().begin.line) + ": " +
                                                          std::string(error.description()));
    }
}

}  // namespace hareshore

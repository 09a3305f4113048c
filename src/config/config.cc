#include "config/config.h"

#include <toml++/toml.h>

#include <cctype>
#include <cmath>
#include <cstring>
#include <functional>

#include "base/constants.h"

namespace hareshore {

const Team* Config::team(const std::string& name) const {
    for (const auto& t : teams)
        if (t.name == name) return &t;
    return nullptr;
}

namespace {

using View = toml::node_view<const toml::node>;

[[noreturn]] void fail(const std::string& field, const std::string& what) {
    throw ConfigError("settings: " + field + ": " + what);
}

std::string need_text(View v, const std::string& field) {
    auto s = v.value_exact<std::string>();
    if (!s || s->empty()) fail(field, "a non-empty text is needed");
    return *s;
}

double number(View v, const std::string& field, double low, double high) {
    auto d = v.value<double>();
    if (!d || !v.is_number()) fail(field, "a number is needed");
    if (!std::isfinite(*d) || *d < low || *d > high) fail(field, "out of range");
    return *d;
}

double positive(View v, const std::string& field) {
    double d = number(v, field, 0, 1e9);
    if (d <= 0) fail(field, "must be above 0");
    return d;
}

Address address(View v, const std::string& field) {
    std::optional<Address> address = Address::parse(need_text(v, field));
    if (!address) fail(field, "an address like 10.0.0.1:8080 is needed");
    return *address;
}

Config from_table(const toml::table& root) {
    Config c;
    auto at = [&](const char* path) { return root.at_path(path); };
    auto pos = [&](const char* path) { return positive(at(path), path); };
    c.label = need_text(at("label"), "label");
    c.zone = need_text(at("site"), "site");
    c.listen = address(at("client_listen"), "client_listen");
    c.peer_listen = address(at("back"), "back");
    c.cloud = address(at("endpoints.cloud"), "endpoints.cloud");
    c.state = address(at("endpoints.state"), "endpoints.state");
    if (const auto* list = at("siblings").as_array()) {
        for (size_t i = 0; i < list->size(); ++i) {
            View s(list->get(i));
            std::string f = "siblings[" + std::to_string(i) + "].";
            c.peers.push_back({need_text(s["label"], f + "label"), need_text(s["site"], f + "site"),
                               address(s["addr"], f + "addr")});
        }
    }
    const auto* zones = at("facts.zones").as_array();
    if (!zones || zones->empty()) fail("facts.zones", "a list of zones is needed");
    for (const auto& z : *zones) c.zones.push_back(need_text(View(&z), "facts.zones"));
    c.skew_s = number(at("facts.skew_ms"), "facts.skew_ms", 0, 1e7) / 1000.0;
    const auto* teams = at("facts.teams").as_array();
    if (!teams) fail("facts.teams", "a list of teams is needed");
    for (size_t i = 0; i < teams->size(); ++i) {
        View t(teams->get(i));
        std::string f = "facts.teams[" + std::to_string(i) + "].";
        Team team;
        team.name = need_text(t["name"], f + "name");
        auto amount = [&](const char* n) { return t[n] ? number(t[n], f + n, 0, 1e9) : 0.0; };
        team.cpus = amount("cpus");
        team.cpus_max = amount("cpus_max");
        team.gpus = amount("gpus");
        team.gpus_max = amount("gpus_max");
        c.teams.push_back(team);
    }
    if (const auto* aims = at("facts.objectives").as_array()) {
        for (size_t i = 0; i < aims->size(); ++i) {
            View o(aims->get(i));
            std::string kind = o["kind"].value_or(std::string());
            if (kind != "finished" && kind != "wait") continue;
            std::string f = "facts.objectives[" + std::to_string(i) + "].";
            std::string name = need_text(o["class"], f + "class");
            Seconds within = positive(o["within_s"], f + "within_s");
            if (kind == "wait") {
                c.wait_within[name].push_back(within);
                continue;
            }
            auto [it, fresh] = c.finish_within.emplace(name, within);
            if (!fresh) it->second = std::min(it->second, within);
        }
    }
    c.heartbeat_interval_s = pos("facts.workers.report_s");
    c.lease_s = pos("facts.workers.lease_s");
    c.gang_wait_s = pos("facts.workers.gang_wait_s");
    c.gang_peer_s = pos("facts.workers.gang_peer_s");
    c.cancel_s = pos("facts.workers.cancel_s");
    if (c.cancel_s <= c.lease_s) fail("facts.workers.cancel_s", "must be above lease_s");
    c.state_rps = pos("facts.state.rps");
    c.write_rps = pos("facts.state.write_rps");
    c.value_bytes = static_cast<size_t>(pos("facts.state.value_kb") * 1024);
    c.txn_ops = static_cast<size_t>(number(at("facts.state.txn_ops"), "facts.state.txn_ops", 2, 1e6));
    if (auto next = at("facts.state.next")) {
        if (!next.is_table()) fail("facts.state.next", "a table is needed");
        constexpr double kMost = 1e9;
        if (next["value_kb"])
            c.next_value_bytes = static_cast<size_t>(number(next["value_kb"], "facts.state.next.value_kb",
                                                            constants::kSmallestValueLimit / 1024.0, kMost) *
                                                     1024);
        if (next["txn_ops"])
            c.txn_ops = std::min(
                c.txn_ops, static_cast<size_t>(number(next["txn_ops"], "facts.state.next.txn_ops", 2, 1e6)));
        if (next["write_rps"]) c.write_rps = std::min(c.write_rps, pos("facts.state.next.write_rps"));
    }
    c.cloud_rps = pos("facts.cloud.rps");
    c.list_lag_s = number(at("facts.cloud.list_lag_s"), "facts.cloud.list_lag_s", 0, 1e6);
    c.sockets = at("facts.machine_limits.sockets")
                    ? static_cast<size_t>(
                          number(at("facts.machine_limits.sockets"), "facts.machine_limits.sockets", 16, 1e7))
                    : 512;
    if (at("facts.machine_limits.ram_mb"))
        c.ram_bytes = static_cast<size_t>(
            number(at("facts.machine_limits.ram_mb"), "facts.machine_limits.ram_mb", 1, 1e7) * 1024 * 1024);
    return c;
}

}  // namespace

// toml++ takes for granted that a table's name begins with a letter, a digit or a quote: an assertion in
// debug builds, undefined in others. So it is with letters outside ASCII where no text is.
static void check_headers(const std::string& text) {
    size_t line = 1;
    bool begins = true;  // nothing but blanks so far on this line
    char quote = 0;      // of the string that this byte is in
    for (size_t i = 0; i < text.size(); ++i) {
        char c = text[i];
        if (c == '\n') {
            quote = 0;
        } else if (quote) {
            if (c == '\\' && quote == '"' && i + 1 < text.size() && text[i + 1] != '\n') ++i;
            if (c == quote) quote = 0;
        } else if (c == '"' || c == '\'') {
            quote = c;
        } else if (c == '#') {
            quote = '\n';  // a comment: to the end of the line
        } else if (static_cast<unsigned char>(c) >= 0x80) {
            throw ConfigError("settings: line " + std::to_string(line) +
                              ": a letter outside ASCII and of no text");
        }
        if (c == '\n') ++line;
        if (c == '\n' || c == '\r' || c == '\v' || c == '\f') {
            begins = true;
        } else if (begins && c == '[') {
            begins = false;
            size_t k = i + 1;
            if (k < text.size() && text[k] == '[') ++k;
            while (k < text.size() && (text[k] == ' ' || text[k] == '\t')) ++k;
            auto first = k < text.size() ? static_cast<unsigned char>(text[k]) : 0;
            if (!(first < 0x80 && std::isalnum(first)) && (first == 0 || !std::strchr("_-\"'", first)))
                throw ConfigError("settings: line " + std::to_string(line) + ": a table's name is needed");
        } else if (c != ' ' && c != '\t' && static_cast<unsigned char>(c) < 0x80) {
            begins = false;
        }
    }
}

Config Config::parse(const std::string& text) {
    check_headers(text);
    try {
        return from_table(toml::parse(text));
    } catch (const toml::parse_error& e) {
        throw ConfigError("settings: line " + std::to_string(e.source().begin.line) + ": " +
                          std::string(e.description()));
    }
}

}  // namespace hareshore

#include "cloud/cloud.h"

#include "base/constants.h"

namespace hareshore {

// The limit is shared by all controllers, and the leader makes most of the calls.
Cloud::Cloud(Loop& loop, Address at, double rps, size_t nodes)
    : loop_(loop),
      http_(loop, at, 4),
      bucket_(rps * constants::kCloudRateShare, std::max(1.0, 2 * rps / static_cast<double>(nodes))) {}

Task<CallResult> Cloud::call(std::string method, std::string path, std::string body) {
    while (!bucket_.take(1, loop_.now())) co_await loop_.sleep(bucket_.wait_time(1, loop_.now()) + 0.001);
    CallResult a = co_await http_.call(std::move(method), std::move(path), std::move(body),
                                       constants::kCloudCallTimeout_s);
    if (a.status == 429) bucket_.mark_exhausted(loop_.now());
    co_return a;
}

std::string Cloud::pack_machine_types(const std::vector<MachineType>& machine_types) {
    MsgpackWriter p;
    p.map(1).key("flavors").list(machine_types.size());
    for (const auto& f : machine_types) {
        p.map(10).key("name").text(f.name).key("vcpus").number(f.cpus).key("cards").number(f.gpus);
        p.key("memory_gb").number(f.memory_gb).key("cache_gb").number(f.cache_gb);
        p.key("fetch_gb_per_s").number(f.fetch_gb_per_s).key("price").number(f.price);
        p.key("low_price")
            .number(f.spot_price)
            .key("boot_s")
            .number(f.boot_s)
            .key("coves")
            .list(f.zones.size());
        for (const auto& z : f.zones) p.text(z);
    }
    return p.take();
}

std::optional<std::vector<MachineType>> Cloud::unpack_machine_types(const std::string& packed) {
    auto m = MsgpackDocument::parse(packed);
    if (!m || !m->root()["flavors"].is_list()) return std::nullopt;
    MsgpackValue list = m->root()["flavors"];
    std::vector<MachineType> machine_types;
    for (size_t i = 0; i < list.size(); ++i) {
        MsgpackValue n = list.at(i);
        MachineType f;
        f.name = n["name"].text_or("");
        f.cpus = n["vcpus"].number_or(0);
        f.gpus = n["cards"].number_or(0);
        f.memory_gb = n["memory_gb"].number_or(0);
        f.cache_gb = n["cache_gb"].number_or(0);
        f.fetch_gb_per_s = n["fetch_gb_per_s"].number_or(0);
        f.price = n["price"].number_or(0);
        f.spot_price = n["low_price"].number_or(f.price);
        f.boot_s = n["boot_s"].number_or(60);
        for (size_t z = 0; z < n["coves"].size(); ++z) f.zones.push_back(n["coves"].at(z).text_or(""));
        if (f.name.empty()) return std::nullopt;
        machine_types.push_back(std::move(f));
    }
    if (machine_types.empty()) return std::nullopt;
    return machine_types;
}

Task<std::optional<std::vector<MachineType>>> Cloud::machine_types() {
    CallResult a = co_await call("GET", "/flavors", "");
    if (!a.ok()) co_return std::nullopt;
    co_return unpack_machine_types(a.body);
}

Task<std::optional<std::vector<ListedMachine>>> Cloud::list() {
    std::vector<ListedMachine> machines;
    std::string from;
    while (true) {
        std::string path = "/hosts?page=" + std::to_string(constants::kMachineListPageSize);
        if (!from.empty()) path += "&from=" + from;
        CallResult a = co_await call("GET", std::move(path), "");
        if (!a.ok()) co_return std::nullopt;
        auto m = MsgpackDocument::parse(a.body);
        if (!m || !m->root()["hosts"].is_list()) co_return std::nullopt;
        MsgpackValue rows = m->root()["hosts"];
        std::string before = from;
        for (size_t i = 0; i < rows.size(); ++i) {
            MsgpackValue n = rows.at(i);
            ListedMachine x;
            x.name = n["ref"].text_or("");
            x.addr = n["addr"].text_or("");
            x.machine_type = n["flavor"].text_or("");
            x.zone = n["cove"].text_or("");
            x.spot = n["driftwood"].flag_or(false);
            std::string phase = n["phase"].text_or("");
            x.phase = phase == "running"  ? MachinePhase::kRunning
                      : phase == "failed" ? MachinePhase::kFailed
                                          : MachinePhase::kBooting;
            x.age_s = n["age_s"].number_or(0);
            if (x.name.empty() || x.name.find(' ') != std::string::npos) co_return std::nullopt;
            from = x.name;
            machines.push_back(std::move(x));
        }
        // A page that leads no further would be asked for for ever.
        if (!m->root()["has_next"].flag_or(false) || from == before) break;
    }
    co_return machines;
}

Task<RentResult> Cloud::rent(std::string claim, std::string machine_type, std::string zone, bool spot,
                             int number) {
    MsgpackWriter p;
    p.map(5).key("claim").text(claim).key("flavor").text(machine_type).key("cove").text(zone);
    p.key("driftwood").flag(spot).key("number").count(static_cast<uint64_t>(number));
    CallResult a = co_await call("POST", "/hosts", p.take());
    RentResult r;
    auto m = MsgpackDocument::parse(a.body);
    if (a.ok() && m && m->root()["hosts"].is_list()) {
        r.result = Rent::kRented;
        MsgpackValue machines = m->root()["hosts"];
        for (size_t i = 0; i < machines.size(); ++i) r.machines.push_back(machines.at(i).text_or(""));
    } else if (a.status == 503 && m && m->root()["error"].text_or("") == "no capacity") {
        r.result = Rent::kNoCapacity;
    } else if (a.status == 0 && a.maybe_executed) {
        r.result = Rent::kUnknown;
    }
    co_return r;
}

Task<Removal> Cloud::remove(std::vector<std::string> names) {
    MsgpackWriter p;
    p.map(1).key("hosts").list(names.size());
    for (const auto& n : names) p.text(n);
    CallResult a = co_await call("POST", "/hosts/delete", p.take());
    if (a.ok()) co_return Removal::kDone;
    bool refused = a.status == 429 || a.status == 503 || (a.status == 0 && !a.maybe_executed);
    co_return refused ? Removal::kRefused : Removal::kUnknown;
}

}  // namespace hareshore

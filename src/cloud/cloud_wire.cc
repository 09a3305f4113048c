// The only file with the field names of the cloud's wire format.
#include "cloud/cloud_wire.h"

#include <utility>

#include "base/constants.h"
#include "http/msgpack.h"

namespace hareshore {

// Also the field of the stored value that holds the list.
const std::string kMachineTypesKey = "flavors";

namespace {

// The HTTP statuses of refused requests, and 0 for a call without a response.
constexpr int kNoResponse = 0;
constexpr int kHttpTooManyRequests = 429;
constexpr int kHttpUnavailable = 503;

constexpr Seconds kDefaultBoot_s = 60;  // for a machine type without a boot time

// Whether the request definitely was not and will not be executed.
bool not_executed(const CallResult& response) {
    return response.status == kHttpTooManyRequests || response.status == kHttpUnavailable ||
           (response.status == kNoResponse && !response.maybe_executed);
}

void pack_machine_type(MsgpackWriter& packer, const MachineType& type) {
    packer.map(10).key("name").text(type.name);
    packer.key("vcpus").number(type.cpus).key("cards").number(type.gpus);
    packer.key("memory_gb").number(type.memory_gb).key("cache_gb").number(type.cache_gb);
    packer.key("fetch_gb_per_s").number(type.fetch_gb_per_s);
    packer.key("price").number(type.price).key("low_price").number(type.spot_price);
    packer.key("boot_s").number(type.boot_s);
    packer.key("coves").list(type.zones.size());
    for (const auto& zone : type.zones) packer.text(zone);
}

MachineType decode_machine_type(const MsgpackValue& row) {
    MachineType type;
    type.name = row["name"].text_or("");
    type.cpus = row["vcpus"].number_or(0);
    type.gpus = row["cards"].number_or(0);
    type.memory_gb = row["memory_gb"].number_or(0);
    type.cache_gb = row["cache_gb"].number_or(0);
    type.fetch_gb_per_s = row["fetch_gb_per_s"].number_or(0);
    type.price = row["price"].number_or(0);
    type.spot_price = row["low_price"].number_or(type.price);
    type.boot_s = row["boot_s"].number_or(kDefaultBoot_s);
    MsgpackValue zones = row["coves"];
    for (size_t i = 0; i < zones.size(); ++i) type.zones.push_back(zones.at(i).text_or(""));
    return type;
}

MachinePhase decode_phase(const std::string& text) {
    if (text == "running") return MachinePhase::kRunning;
    if (text == "failed") return MachinePhase::kFailed;
    return MachinePhase::kBooting;
}

ListedMachine decode_machine(const MsgpackValue& row) {
    ListedMachine machine;
    machine.name = row["ref"].text_or("");
    machine.addr = row["addr"].text_or("");
    machine.machine_type = row["flavor"].text_or("");
    machine.zone = row["cove"].text_or("");
    machine.spot = row["driftwood"].flag_or(false);
    machine.phase = decode_phase(row["phase"].text_or(""));
    machine.age_s = row["age_s"].number_or(0);
    return machine;
}

bool valid_name(const std::string& name) {
    return !name.empty() && name.find(' ') == std::string::npos;
}

}  // namespace

std::string machine_types_path() {
    return "/flavors";
}

std::string encode_machine_types(const std::vector<MachineType>& machine_types) {
    MsgpackWriter packer;
    packer.map(1).key("flavors").list(machine_types.size());
    for (const auto& type : machine_types) pack_machine_type(packer, type);
    return packer.take();
}

std::optional<std::vector<MachineType>> decode_machine_types(std::string_view packed) {
    auto message = MsgpackDocument::parse(packed);
    if (!message) return std::nullopt;
    MsgpackValue rows = message->root()["flavors"];
    if (rows.size() == 0) return std::nullopt;
    std::vector<MachineType> machine_types;
    for (size_t row = 0; row < rows.size(); ++row) {
        MachineType type = decode_machine_type(rows.at(row));
        if (type.name.empty()) return std::nullopt;
        machine_types.push_back(std::move(type));
    }
    return machine_types;
}

std::string machine_page_path(const std::string& after) {
    std::string path = "/hosts?page=" + std::to_string(constants::kMachineListPageSize);
    if (!after.empty()) path += "&from=" + after;
    return path;
}

std::optional<MachinePage> decode_machine_page(const CallResult& response) {
    if (!response.ok()) return std::nullopt;
    auto message = MsgpackDocument::parse(response.body);
    if (!message) return std::nullopt;
    MsgpackValue rows = message->root()["hosts"];
    if (!rows.is_list()) return std::nullopt;
    MachinePage page;
    for (size_t row = 0; row < rows.size(); ++row) {
        ListedMachine machine = decode_machine(rows.at(row));
        if (!valid_name(machine.name)) return std::nullopt;
        page.machines.push_back(std::move(machine));
    }
    page.more = message->root()["has_next"].flag_or(false);
    return page;
}

std::string creation_path() {
    return "/hosts";
}

std::string encode_create_request(const CreateMachinesRequest& request) {
    MsgpackWriter packer;
    packer.map(5).key("claim").text(request.idempotency_key);
    packer.key("flavor").text(request.machine_type).key("cove").text(request.zone);
    packer.key("driftwood").flag(request.spot).key("number").count(static_cast<uint64_t>(request.count));
    return packer.take();
}

CreateMachinesResult decode_create_response(const CallResult& response) {
    CreateMachinesResult result;
    auto message = MsgpackDocument::parse(response.body);
    MsgpackValue root = message ? message->root() : MsgpackValue();
    MsgpackValue machines = root["hosts"];
    if (response.ok() && machines.is_list()) {
        result.outcome = CreateOutcome::kCreated;
        for (size_t i = 0; i < machines.size(); ++i) result.machines.push_back(machines.at(i).text_or(""));
    } else if (response.status == kHttpUnavailable && root["error"].text_or("") == "no capacity") {
        result.outcome = CreateOutcome::kNoCapacity;
    } else if (not_executed(response)) {
        result.outcome = CreateOutcome::kNotExecuted;
    }
    return result;
}

std::string deletion_path() {
    return "/hosts/delete";
}

std::string encode_delete_request(const std::vector<std::string>& machines) {
    MsgpackWriter packer;
    packer.map(1).key("hosts").list(machines.size());
    for (const auto& name : machines) packer.text(name);
    return packer.take();
}

DeleteOutcome decode_delete_response(const CallResult& response) {
    if (response.ok()) return DeleteOutcome::kDeleted;
    return not_executed(response) ? DeleteOutcome::kNotExecuted : DeleteOutcome::kUnknown;
}

}  // namespace hareshore

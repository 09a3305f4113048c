#include "standins/cloud.h"

#include <algorithm>

#include "cloud/cloud_wire.h"
#include "http/msgpack.h"
#include "standins/messages.h"

namespace hareshore::test {

namespace {

constexpr size_t kMostConnections = 20;
constexpr double kListedAge_s = 100;

Response error(const std::string& text) {
    MsgpackWriter answer;
    answer.map(1).key("error").text(text);
    return packed_response(503, answer);
}

}  // namespace

MachineType small_machine_type() {
    MachineType type;
    type.name = "g2";
    type.cpus = 16;
    type.gpus = 2;
    type.memory_gb = 64;
    type.cache_gb = 50;
    type.fetch_gb_per_s = 1;
    type.price = 4;
    type.spot_price = 1;
    type.boot_s = 30;
    type.zones = {"a", "b"};
    return type;
}

FakeCloud::FakeCloud(Loop& loop, Address at)
    : server_(loop, at, kMostConnections, [this](Request request) { return handle(std::move(request)); }) {}

Task<Response> FakeCloud::handle(Request request) {
    if (down) co_return error("trouble");
    if (request.path == "/flavors") co_return Response{200, encode_machine_types(machine_types), 0, ""};
    if (request.path == "/hosts/delete") co_return delete_machines(request);
    if (request.method == "POST") co_return rent_machines(request);
    co_return list_machines(request);
}

Response FakeCloud::delete_machines(const Request& request) {
    auto message = MsgpackDocument::parse(request.body);
    MsgpackValue names = message->root()["hosts"];
    for (size_t i = 0; i < names.size(); ++i) {
        std::string name = *names.at(i).text();
        deleted.push_back(name);
        machines.erase(name);
    }
    return {200, "", 0, ""};
}

Response FakeCloud::rent_machines(const Request& request) {
    auto message = MsgpackDocument::parse(request.body);
    std::vector<std::string> rented;
    if (rent) rented = rent(message->root()["cove"].text_or(""), message->root()["number"].count_or(1));
    if (rented.empty()) return error("no capacity");
    MsgpackWriter answer;
    answer.map(1).key("hosts").list(rented.size());
    for (const auto& name : rented) answer.text(name);
    return packed_response(200, answer);
}

Response FakeCloud::list_machines(const Request& request) {
    std::string after = query_value(request, "from");
    std::string page = query_value(request, "page");
    size_t most = page.empty() ? machines.size() : std::stoul(page);
    auto first = machines.upper_bound(after);
    auto left = static_cast<size_t>(std::distance(first, machines.end()));
    MsgpackWriter answer;
    answer.map(2).key("hosts").list(std::min(most, left));
    for (auto entry = first; entry != machines.end() && most > 0; ++entry, --most) {
        const auto& [name, machine] = *entry;
        answer.map(7).key("ref").text(name).key("addr").text(machine.addr);
        answer.key("flavor").text(machine.machine_type).key("cove").text(machine.zone);
        answer.key("driftwood").flag(machine.spot).key("phase").text("running");
        answer.key("age_s").number(kListedAge_s);
    }
    answer.key("has_next").flag(most == 0 && !page.empty() && std::stoul(page) < left);
    return packed_response(200, answer);
}

}  // namespace hareshore::test

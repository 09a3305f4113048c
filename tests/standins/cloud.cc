#include "standins/cloud.h"

#include <algorithm>

#include "cloud/cloud_wire.h"
#include "http/msgpack.h"
#include "standins/messages.h"

namespace hareshore::test {

namespace {

constexpr size_t kMaxConnections = 20;
constexpr double kListedAge_s = 100;

Response unavailable(const std::string& text) {
    MsgpackWriter response;
    response.map(1).key("error").text(text);
    return packed_response(503, response);
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
    : server_(loop, at, kMaxConnections, [this](Request request) { return handle(std::move(request)); }) {}

Task<Response> FakeCloud::handle(Request request) {
    if (down) co_return unavailable("cloud outage");
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
    if (rented.empty()) return unavailable("no capacity");
    MsgpackWriter response;
    response.map(1).key("hosts").list(rented.size());
    for (const auto& name : rented) response.text(name);
    return packed_response(200, response);
}

Response FakeCloud::list_machines(const Request& request) {
    std::string after = query_value(request, "from");
    std::string page = query_value(request, "page");
    size_t page_size = page.empty() ? machines.size() : std::stoul(page);
    auto first = machines.upper_bound(after);
    auto remaining = static_cast<size_t>(std::distance(first, machines.end()));
    MsgpackWriter response;
    response.map(2).key("hosts").list(std::min(page_size, remaining));
    for (auto entry = first; entry != machines.end() && page_size > 0; ++entry, --page_size) {
        const auto& [name, machine] = *entry;
        response.map(7).key("ref").text(name).key("addr").text(machine.addr);
        response.key("flavor").text(machine.machine_type).key("cove").text(machine.zone);
        response.key("driftwood").flag(machine.spot).key("phase").text("running");
        response.key("age_s").number(kListedAge_s);
    }
    response.key("has_next").flag(page_size == 0 && !page.empty() && std::stoul(page) < remaining);
    return packed_response(200, response);
}

}  // namespace hareshore::test

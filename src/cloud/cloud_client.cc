#include "cloud/cloud_client.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/constants.h"
#include "cloud/cloud_wire.h"

namespace hareshore {

namespace {

constexpr size_t kConnections = 4;            // The leader makes few calls, each of about 250 ms at most.
constexpr Seconds kRateWaitMargin_s = 0.001;  // added to the time of the next token, against rounding errors
constexpr int kHttpTooManyRequests = 429;

}  // namespace

// All controllers share the cloud's rate limit, but the leader makes most of the calls: each controller's
// rate is a large share of the limit, while the burst is divided equally.
CloudClient::CloudClient(Loop& loop, Address cloud, double rate_limit, size_t controllers)
    : loop_(loop),
      http_(loop, cloud, kConnections, constants::kResponseLimit),
      rate_limit_(rate_limit * constants::kCloudRateShare,
                  std::max(1.0, 2 * rate_limit / static_cast<double>(controllers))) {}

Task<CallResult> CloudClient::call(std::string method, std::string path, std::string body) {
    while (!rate_limit_.take(1, loop_.now()))
        co_await loop_.sleep(rate_limit_.wait_time(1, loop_.now()) + kRateWaitMargin_s);
    CallResult response = co_await http_.call(std::move(method), std::move(path), std::move(body),
                                              constants::kCloudCallTimeout_s);
    // The requests of other controllers have exhausted the limit.
    if (response.status == kHttpTooManyRequests) rate_limit_.mark_exhausted(loop_.now());
    co_return response;
}

Task<std::optional<std::vector<MachineType>>> CloudClient::machine_types() {
    CallResult response = co_await call("GET", machine_types_path(), "");
    if (!response.ok()) co_return std::nullopt;
    co_return decode_machine_types(response.body);
}

Task<std::optional<std::vector<ListedMachine>>> CloudClient::list_machines() {
    std::vector<ListedMachine> machines;
    std::string last;
    while (true) {
        CallResult response = co_await call("GET", machine_page_path(last), "");
        auto page = decode_machine_page(response);
        if (!page) co_return std::nullopt;
        std::string previous = last;
        if (!page->machines.empty()) last = page->machines.back().name;
        std::move(page->machines.begin(), page->machines.end(), std::back_inserter(machines));
        // A page that does not advance the listing would be requested forever.
        if (!page->more || last == previous) break;
    }
    co_return machines;
}

Task<CreateMachinesResult> CloudClient::create_machines(CreateMachinesRequest request) {
    CallResult response = co_await call("POST", creation_path(), encode_create_request(request));
    co_return decode_create_response(response);
}

Task<DeleteOutcome> CloudClient::delete_machines(std::vector<std::string> names) {
    CallResult response = co_await call("POST", deletion_path(), encode_delete_request(names));
    co_return decode_delete_response(response);
}

}  // namespace hareshore

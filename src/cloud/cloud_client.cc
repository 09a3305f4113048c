#include "cloud/cloud_client.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/constants.h"
#include "cloud/cloud_wire.h"

namespace hareshore {

namespace {

constexpr size_t kConnections = 4;  // The leader's calls are few, and answered within some 250 ms.
constexpr Seconds kRateWaitMargin_s =
    0.001;  // beyond the wait for a token, so that rounding cannot repeat it
constexpr int kHttpTooManyRequests = 429;

}  // namespace

// The limit is shared by all controllers, and the leader makes most of the calls: the rate is a large share
// for each, the burst an equal one.
CloudClient::CloudClient(Loop& loop, Address cloud, double rate_limit, size_t controllers)
    : loop_(loop),
      http_(loop, cloud, kConnections, constants::kResponseLimit),
      rate_limit_(rate_limit * constants::kCloudRateShare,
                  std::max(1.0, 2 * rate_limit / static_cast<double>(controllers))) {}

Task<CallResult> CloudClient::call(std::string method, std::string path, std::string body) {
    while (!rate_limit_.take(1, loop_.now()))
        co_await loop_.sleep(rate_limit_.until(1, loop_.now()) + kRateWaitMargin_s);
    CallResult answer = co_await http_.call(std::move(method), std::move(path), std::move(body),
                                            constants::kCloudCallTimeout_s);
    // Other controllers have used up the limit.
    if (answer.status == kHttpTooManyRequests) rate_limit_.mark_exhausted(loop_.now());
    co_return answer;
}

Task<std::optional<std::vector<MachineType>>> CloudClient::machine_types() {
    CallResult answer = co_await call("GET", machine_types_path(), "");
    if (!answer.ok()) co_return std::nullopt;
    co_return decode_machine_types(answer.body);
}

Task<std::optional<std::vector<ListedMachine>>> CloudClient::list_machines() {
    std::vector<ListedMachine> machines;
    std::string last;
    while (true) {
        CallResult answer = co_await call("GET", machine_page_path(last), "");
        auto page = decode_machine_page(answer);
        if (!page) co_return std::nullopt;
        std::string previous = last;
        if (!page->machines.empty()) last = page->machines.back().name;
        std::move(page->machines.begin(), page->machines.end(), std::back_inserter(machines));
        // A page that leads no further would be asked for for ever.
        if (!page->more || last == previous) break;
    }
    co_return machines;
}

Task<CreateMachinesResult> CloudClient::create_machines(CreateMachinesRequest request) {
    CallResult answer = co_await call("POST", creation_path(), encode_create_request(request));
    co_return decode_create_answer(answer);
}

Task<DeleteOutcome> CloudClient::delete_machines(std::vector<std::string> names) {
    CallResult answer = co_await call("POST", deletion_path(), encode_delete_request(names));
    co_return decode_delete_answer(answer);
}

}  // namespace hareshore

#include "leader/machine_rental.h"

#include <algorithm>

#include "base/constants.h"
#include "base/log.h"

namespace hareshore {

void MachineRental::start(ScaleOutRequest request) {
    while (request.number > 0) {
        ScaleOutRequest portion{request.kind,
                                std::min(request.number, constants::kMachinesPerScaleOutRequest)};
        request.number -= portion.number;
        on_order_.push_back(portion);
        parts_.lifecycle.spawn(rent(portion), "rent", Priority::kNormal);
    }
}

Task<void> MachineRental::rent(ScaleOutRequest portion) {
    // The fencing token is never reused, so neither is the idempotency key.
    const std::string key = "r-" + std::to_string(parts_.fencing_token) + "-" + std::to_string(++requests_);
    const MachineKind& kind = portion.kind;
    Seconds pause = constants::kRetryBackoff_s;
    while (true) {
        co_await wait_for_confirmed_lease();
        // Named: GCC 12 destroys an aggregate twice that is made within a co_await expression.
        CreateMachinesRequest request{key, kind.machine_type, kind.zone, kind.spot, portion.number};
        CreateMachinesResult result = co_await parts_.cloud.create_machines(std::move(request));
        if (result.outcome == CreateOutcome::kCreated || result.outcome == CreateOutcome::kNoCapacity) {
            add_rented(portion, result.machines);
            break;
        }
        co_await parts_.loop.sleep(pause);
        pause = std::min(pause * 2, constants::kRetryBackoffMax_s);
    }
    remove_from_order(portion);
}

Task<void> MachineRental::wait_for_confirmed_lease() {
    while (!parts_.leadership.lease_confirmed()) co_await parts_.loop.sleep(constants::kRetryBackoff_s);
}

void MachineRental::add_rented(const ScaleOutRequest& portion, const std::vector<std::string>& names) {
    const MachineKind& kind = portion.kind;
    for (const auto& name : names) {
        if (parts_.deleted_machines.contains(name)) continue;
        Machine& machine = parts_.cluster.ensure(name, parts_.loop.now());
        if (machine.reported) continue;
        machine.machine_type = kind.machine_type;
        machine.zone = kind.zone;
        machine.spot = kind.spot;
    }
    log::info("machines_rented", {{"rented", names.size()},
                                  {"requested", portion.number},
                                  {"type", kind.machine_type},
                                  {"zone", kind.zone},
                                  {"spot", kind.spot}});
    if (names.size() < static_cast<size_t>(portion.number))
        refused_until_[kind] = parts_.loop.now() + constants::kNoCapacityRetry_s;
}

void MachineRental::remove_from_order(const ScaleOutRequest& portion) {
    auto it = std::find_if(on_order_.begin(), on_order_.end(), [&](const ScaleOutRequest& ordered) {
        return ordered.kind == portion.kind && ordered.number == portion.number;
    });
    if (it != on_order_.end()) on_order_.erase(it);
}

}  // namespace hareshore

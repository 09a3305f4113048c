#include "leader/machine_rental.h"

#include <algorithm>

#include "base/constants.h"
#include "base/log.h"

namespace hareshore {

void MachineRental::start(ScaleOutRequest request) {
    while (request.number > 0) {
        ScaleOutRequest batch{request.kind, std::min(request.number, constants::kMachinesPerScaleOutRequest)};
        request.number -= batch.number;
        pending_.push_back(batch);
        dependencies_.lifecycle.spawn(rent(batch), "rent", Priority::kNormal);
    }
}

Task<void> MachineRental::rent(ScaleOutRequest batch) {
    // The fencing token is never reused, so neither is the idempotency key.
    const std::string key =
        "r-" + std::to_string(dependencies_.fencing_token) + "-" + std::to_string(++requests_);
    const MachineKind& kind = batch.kind;
    Seconds pause = constants::kRetryBackoff_s;
    while (true) {
        co_await wait_for_confirmed_lease();
        // A named variable, since GCC 12 destroys an aggregate twice if it is created within a co_await
        // expression.
        CreateMachinesRequest request{key, kind.machine_type, kind.zone, kind.spot, batch.number};
        CreateMachinesResult result = co_await dependencies_.cloud.create_machines(std::move(request));
        if (result.outcome == CreateOutcome::kCreated || result.outcome == CreateOutcome::kNoCapacity) {
            add_rented(batch, result.machines);
            break;
        }
        co_await dependencies_.loop.sleep(pause);
        pause = std::min(pause * 2, constants::kRetryBackoffMax_s);
    }
    remove_pending(batch);
}

Task<void> MachineRental::wait_for_confirmed_lease() {
    while (!dependencies_.leadership.lease_confirmed())
        co_await dependencies_.loop.sleep(constants::kRetryBackoff_s);
}

void MachineRental::add_rented(const ScaleOutRequest& batch, const std::vector<std::string>& names) {
    const MachineKind& kind = batch.kind;
    for (const auto& name : names) {
        if (dependencies_.deleted_machines.contains(name)) continue;
        Machine& machine = dependencies_.cluster.find_or_add(name, dependencies_.loop.now());
        if (machine.heartbeat_received) continue;
        machine.machine_type = kind.machine_type;
        machine.zone = kind.zone;
        machine.spot = kind.spot;
    }
    log::info("machines_rented", {{"rented", names.size()},
                                  {"requested", batch.number},
                                  {"type", kind.machine_type},
                                  {"zone", kind.zone},
                                  {"spot", kind.spot}});
    if (names.size() < static_cast<size_t>(batch.number))
        no_capacity_until_[kind] = dependencies_.loop.now() + constants::kNoCapacityRetry_s;
}

void MachineRental::remove_pending(const ScaleOutRequest& batch) {
    auto it = std::find_if(pending_.begin(), pending_.end(), [&](const ScaleOutRequest& request) {
        return request.kind == batch.kind && request.number == batch.number;
    });
    if (it != pending_.end()) pending_.erase(it);
}

}  // namespace hareshore

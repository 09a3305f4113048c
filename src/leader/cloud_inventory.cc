#include "leader/cloud_inventory.h"

#include "base/constants.h"
#include "base/log.h"
#include "cloud/cloud_wire.h"
#include "http/json_size.h"

namespace hareshore {

Task<void> CloudInventory::poll_machine_types() {
    while (true) {
        auto machine_types = co_await dependencies_.cloud.machine_types();
        if (!machine_types) {
            co_await dependencies_.loop.sleep(constants::kRetryBackoffMax_s);
            continue;
        }
        dependencies_.cluster.machine_types = std::move(*machine_types);
        if (!machine_types_stored_) co_await store_machine_types();
        co_await dependencies_.loop.sleep(constants::kMachineTypesInterval_s);
    }
}

// Stores the machine types for controllers that start while the cloud is unavailable.
Task<void> CloudInventory::store_machine_types() {
    std::string data = encode_machine_types(dependencies_.cluster.machine_types);
    if (json_size(data) > dependencies_.config.value_limit(kNewestRecordFormat)) {
        log::info("machine_types_not_stored", {{"reason", "too_large"}});
        machine_types_stored_ = true;
        co_return;
    }
    Transaction transaction;
    transaction.expect_revision(dependencies_.term.key, dependencies_.term.mod_revision)
        .put(kMachineTypesKey, std::move(data));
    TransactionResult result =
        co_await dependencies_.store.commit(std::move(transaction), constants::kStoreCallTimeout_s);
    machine_types_stored_ = result.status == StoreStatus::kOk || result.status == StoreStatus::kInvalid;
}

Task<void> CloudInventory::poll_machines() {
    while (true) {
        Seconds requested_at = dependencies_.loop.now();
        auto list = co_await dependencies_.cloud.list_machines();
        if (list)
            for (const auto& listed : *list) add_listed(listed, requested_at);
        co_await dependencies_.loop.sleep(list ? constants::kMachineListInterval_s
                                               : constants::kRetryBackoffMax_s);
    }
}

void CloudInventory::add_listed(const ListedMachine& listed, Seconds requested_at) {
    if (dependencies_.deleted_machines.contains(listed.name)) return;
    Machine& machine = dependencies_.cluster.find_or_add(listed.name, dependencies_.loop.now());
    if (!machine.listed) {
        machine.listed = true;
        machine.created_at = requested_at - listed.age_s;
        if (!machine.heartbeat_received) {
            machine.addr = listed.addr;
            machine.machine_type = listed.machine_type;
            machine.zone = listed.zone;
            machine.spot = listed.spot;
        }
    }
    // A list may be older than the previous one, so a machine's phase only advances.
    if (listed.phase > machine.phase) machine.phase = listed.phase;
}

}  // namespace hareshore

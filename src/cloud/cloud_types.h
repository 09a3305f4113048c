// Requests to the cloud and their outcomes (see cloud_client.h).
#pragma once
#include <cstdint>
#include <string>
#include <vector>

namespace hareshore {

// A request to create machines of one kind.
struct CreateMachinesRequest {
    // Makes the request idempotent: once it has been executed, the cloud answers any copy of it with the same
    // machines and creates no others. So a request whose outcome is unknown is repeated with its key, and
    // another request, also one of another controller, must never have the same one.
    std::string idempotency_key;
    std::string machine_type;
    std::string zone;
    bool spot = false;
    int count = 0;  // at most constants::kMachinesPerRental
};

enum class CreateOutcome : uint8_t {
    kCreated,      // executed: as many as there was capacity for, maybe fewer than asked for
    kNoCapacity,   // not executed: no machine of this kind is available at present
    kNotExecuted,  // certainly not executed, for another reason: not sent, or refused
    kUnknown,      // may have been executed, or may still be
};

struct CreateMachinesResult {
    CreateOutcome outcome = CreateOutcome::kUnknown;
    std::vector<std::string> machines;  // names, with kCreated
};

enum class DeleteOutcome : uint8_t {
    kDeleted,      // executed: the machines do not exist any more
    kNotExecuted,  // certainly not executed: not sent, or refused
    kUnknown,      // may have been executed, or may still be
};

}  // namespace hareshore

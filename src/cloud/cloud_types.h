// Requests to the cloud and their outcomes (see cloud_client.h).
#pragma once
#include <cstdint>
#include <string>
#include <vector>

namespace hareshore {

// A request to create machines of one type, in one zone.
struct CreateMachinesRequest {
    // Makes the request idempotent: once the cloud has executed it, a retry with the same key returns the
    // same machines and creates no others. A request whose outcome is unknown is therefore retried with its
    // key, and no other request, of this or another controller, may reuse the key.
    std::string idempotency_key;
    std::string machine_type;
    std::string zone;
    bool spot = false;
    int count = 0;  // at most constants::kMachinesPerRental
};

enum class CreateOutcome : uint8_t {
    kCreated,      // executed: as many machines as there was capacity for, possibly fewer than requested
    kNoCapacity,   // not executed: no such machine is available at present
    kNotExecuted,  // definitely not executed, for another reason: not sent, or refused
    kUnknown,      // may have been or may yet be executed
};

struct CreateMachinesResult {
    CreateOutcome outcome = CreateOutcome::kUnknown;
    std::vector<std::string> machines;  // names, with kCreated
};

enum class DeleteOutcome : uint8_t {
    kDeleted,      // executed: the machines no longer exist
    kNotExecuted,  // definitely not executed: not sent, or refused
    kUnknown,      // may have been or may yet be executed
};

}  // namespace hareshore

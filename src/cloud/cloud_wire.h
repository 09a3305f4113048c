// The cloud's wire format: encodes the paths and bodies of requests and decodes responses. Performs no I/O.
// The machine types are stored in the key-value store in the same format.
#pragma once
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cloud/cloud_types.h"
#include "cloud/machine_type.h"
#include "http/client.h"

namespace hareshore {

// The store key of the machine types, which the leader writes for controllers that start while the cloud is
// unavailable.
extern const std::string kMachineTypesKey;

// One page of the list of machines.
struct MachinePage {
    std::vector<ListedMachine> machines;
    bool more = false;  // Further pages follow.
};

[[nodiscard]] std::string machine_types_path();
[[nodiscard]] std::string encode_machine_types(const std::vector<MachineType>& machine_types);
// None if the bytes are malformed or contain no machine type.
[[nodiscard]] std::optional<std::vector<MachineType>> decode_machine_types(std::string_view packed);

// The page of machines that follow the one named `after`; the first page if it is empty.
[[nodiscard]] std::string machine_page_path(const std::string& after);
// None if the request failed or the body is malformed.
[[nodiscard]] std::optional<MachinePage> decode_machine_page(const CallResult& response);

[[nodiscard]] std::string creation_path();
[[nodiscard]] std::string encode_create_request(const CreateMachinesRequest& request);
[[nodiscard]] CreateMachinesResult decode_create_response(const CallResult& response);

[[nodiscard]] std::string deletion_path();
[[nodiscard]] std::string encode_delete_request(const std::vector<std::string>& machines);
[[nodiscard]] DeleteOutcome decode_delete_response(const CallResult& response);

}  // namespace hareshore

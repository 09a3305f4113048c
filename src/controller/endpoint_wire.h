// The paths that a controller serves.
#pragma once
#include <cstdint>
#include <optional>
#include <string_view>

namespace hareshore {

enum class Endpoint : uint8_t {
    kWorkerHeartbeat,
    kReadiness,
    kOperatorStatus,
    kOperatorJobs,
    kOperatorMachines,
    kUsers,  // all other paths
};

[[nodiscard]] Endpoint endpoint_of(std::string_view path);
// The only method that the endpoint takes; nothing for kUsers, which checks its methods itself.
[[nodiscard]] std::optional<std::string_view> required_method(Endpoint endpoint);

}  // namespace hareshore

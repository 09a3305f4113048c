// The HTTP paths that a controller serves.
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
// The only HTTP method that the endpoint accepts; nullopt for kUsers, whose service checks methods itself.
[[nodiscard]] std::optional<std::string_view> required_method(Endpoint endpoint);

}  // namespace hareshore

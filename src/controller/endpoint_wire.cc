#include "controller/endpoint_wire.h"

namespace hareshore {

Endpoint endpoint_of(std::string_view path) {
    if (path == "/hello") return Endpoint::kWorkerHeartbeat;
    if (path == "/ready") return Endpoint::kReadiness;
    if (path == "/operator") return Endpoint::kOperatorStatus;
    if (path == "/operator/jobs") return Endpoint::kOperatorJobs;
    if (path == "/operator/machines") return Endpoint::kOperatorMachines;
    return Endpoint::kUsers;
}

std::optional<std::string_view> required_method(Endpoint endpoint) {
    switch (endpoint) {
        case Endpoint::kWorkerHeartbeat:
            return "POST";
        case Endpoint::kReadiness:
        case Endpoint::kOperatorStatus:
        case Endpoint::kOperatorJobs:
        case Endpoint::kOperatorMachines:
            return "GET";
        case Endpoint::kUsers:
            break;
    }
    return std::nullopt;
}

}  // namespace hareshore

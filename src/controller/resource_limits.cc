#include "controller/resource_limits.h"

#include <algorithm>

#include "base/constants.h"

namespace hareshore {

namespace {

// Standard input, output and error, and the event loop's epoll descriptor.
constexpr size_t kInternalDescriptors = 4;

}  // namespace

size_t connection_limit(const Config& config) {
    const double share = 1 - constants::kReservedSocketShare;
    return static_cast<size_t>(static_cast<double>(config.sockets) * share) - kInternalDescriptors;
}

size_t response_limit(const Config& config) {
    if (config.ram_bytes == 0) return constants::kResponseLimit;
    return std::clamp(config.ram_bytes / constants::kResponseMemoryDivisor, constants::kSmallestResponseLimit,
                      constants::kResponseLimit);
}

}  // namespace hareshore

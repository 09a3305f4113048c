// Limits derived from the sockets and the memory that the platform grants a controller.
#pragma once
#include <cstddef>

#include "config/config.h"

namespace hareshore {

// Maximum number of concurrent connections of the HTTP server. The remaining sockets are for outgoing calls
// and for listening.
[[nodiscard]] size_t connection_limit(const Config& config);
// Maximum size in bytes of one response of the store or the cloud.
[[nodiscard]] size_t response_limit(const Config& config);

}  // namespace hareshore

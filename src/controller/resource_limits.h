// How a controller shares out the sockets and the memory that the platform gives it.
#pragma once
#include <cstddef>

#include "config/config.h"

namespace hareshore {

// Connections that the HTTP server accepts at once; the other sockets are for calls to others and for
// listening.
[[nodiscard]] size_t connection_limit(const Config& config);
// Bytes of one answer of the store or the cloud that are read.
[[nodiscard]] size_t answer_limit(const Config& config);

}  // namespace hareshore

// Direct requests to workers.
#pragma once
#include <cstdint>
#include <optional>
#include <vector>

#include "http/client.h"
#include "workers/command.h"
#include "workers/worker_heartbeat.h"

namespace hareshore {

// Sends commands to the worker without waiting for its next heartbeat, once. The result is the worker's
// heartbeat after them if its answer came in time; none: they may have been executed or not. A worker that
// refuses them, since the fencing token or its incarnation is another, answers with its heartbeat too.
[[nodiscard]] Task<std::optional<WorkerHeartbeat>> send_commands(Loop& loop, Address worker,
                                                                 uint64_t fencing_token, uint64_t incarnation,
                                                                 std::vector<Command> commands);

}  // namespace hareshore

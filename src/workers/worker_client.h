// Sends commands directly to workers.
#pragma once
#include <cstdint>
#include <optional>
#include <vector>

#include "http/client.h"
#include "workers/command.h"
#include "workers/worker_heartbeat.h"

namespace hareshore {

// Sends commands to the worker, once, without waiting for its next heartbeat. Returns the worker's heartbeat
// after the commands, or none if there was no usable response in time: the commands may or may not have been
// executed. A worker that refuses them because of the fencing token or the incarnation responds with its
// heartbeat too.
[[nodiscard]] Task<std::optional<WorkerHeartbeat>> send_commands(Loop& loop, Address worker,
                                                                 uint64_t fencing_token, uint64_t incarnation,
                                                                 std::vector<Command> commands);

}  // namespace hareshore

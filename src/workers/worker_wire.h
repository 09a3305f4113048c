// The workers' wire format: decodes heartbeats, encodes the responses to them and direct commands. Performs
// no I/O.
#pragma once
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "workers/command.h"
#include "workers/worker_heartbeat.h"

namespace hareshore {

// None if the heartbeat is malformed; the response is the same for every cause.
[[nodiscard]] std::optional<WorkerHeartbeat> decode_heartbeat(std::string_view body);

// The leader's response to a heartbeat; `fencing_token` is the leader's.
[[nodiscard]] std::string encode_heartbeat_response(uint64_t fencing_token,
                                                    const std::vector<Command>& commands);

// The response of any other controller to a heartbeat: redirects the worker to the leader with this label, if
// given.
[[nodiscard]] std::string encode_redirect(std::optional<std::string_view> leader);

// The path and body of direct commands to a worker. A worker of another incarnation does not execute them.
[[nodiscard]] std::string commands_path();
[[nodiscard]] std::string encode_commands(uint64_t fencing_token, uint64_t incarnation,
                                          const std::vector<Command>& commands);

}  // namespace hareshore

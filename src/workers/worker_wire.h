// The workers' wire format: decodes heartbeats, encodes the answers to them and direct commands. Performs no
// I/O.
#pragma once
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "workers/command.h"
#include "workers/worker_heartbeat.h"

namespace hareshore {

// None if the heartbeat is malformed, whatever is wrong with it: its sender gets the same answer.
[[nodiscard]] std::optional<WorkerHeartbeat> decode_heartbeat(std::string_view body);

// The answer to a heartbeat from the leader with this fencing token.
[[nodiscard]] std::string encode_heartbeat_answer(uint64_t fencing_token,
                                                  const std::vector<Command>& commands);

// The answer to a heartbeat from another controller: the label of the leader to turn to, if one is to be
// named.
[[nodiscard]] std::string encode_redirect(std::optional<std::string_view> leader);

// The path and the body of a direct request to a worker. A worker of another incarnation does not execute it.
[[nodiscard]] std::string commands_path();
[[nodiscard]] std::string encode_commands(uint64_t fencing_token, uint64_t incarnation,
                                          const std::vector<Command>& commands);

}  // namespace hareshore

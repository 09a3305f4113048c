#include "workers/worker_client.h"

#include "base/constants.h"
#include "workers/command.h"
#include "workers/worker_wire.h"

namespace hareshore {

namespace {

// The statuses of answers that carry a heartbeat.
constexpr int kHttpOk = 200;        // The worker has executed the commands.
constexpr int kHttpConflict = 409;  // It has refused them.

}  // namespace

Task<std::optional<WorkerHeartbeat>> send_commands(Loop& loop, Address worker, uint64_t fencing_token,
                                                   uint64_t incarnation, std::vector<Command> commands) {
    HttpClient http(loop, worker, 1);
    CallResult answer =
        co_await http.call("POST", commands_path(), encode_commands(fencing_token, incarnation, commands),
                           constants::kWorkerCommandTimeout_s);
    if (answer.status != kHttpOk && answer.status != kHttpConflict) co_return std::nullopt;
    co_return decode_heartbeat(answer.body);
}

}  // namespace hareshore

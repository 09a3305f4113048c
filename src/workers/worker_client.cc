#include "workers/worker_client.h"

#include "base/constants.h"
#include "workers/command.h"
#include "workers/worker_wire.h"

namespace hareshore {

namespace {

// The HTTP statuses of responses that contain a heartbeat.
constexpr int kHttpOk = 200;        // The worker has executed the commands.
constexpr int kHttpConflict = 409;  // The worker has refused the commands.

}  // namespace

Task<std::optional<WorkerHeartbeat>> send_commands(Loop& loop, Address worker, uint64_t fencing_token,
                                                   uint64_t incarnation, std::vector<Command> commands) {
    HttpClient http(loop, worker, 1);
    CallResult response =
        co_await http.call("POST", commands_path(), encode_commands(fencing_token, incarnation, commands),
                           constants::kWorkerCommandTimeout_s);
    if (response.status != kHttpOk && response.status != kHttpConflict) co_return std::nullopt;
    co_return decode_heartbeat(response.body);
}

}  // namespace hareshore

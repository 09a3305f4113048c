// The commands by which the leader starts and stops tasks on a worker.
#pragma once
#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "model/task_name.h"

namespace hareshore {

enum class CommandKind : uint8_t {
    kLaunch,
    kStop,
    kForget,  // remove an exited task from the heartbeats
};

// The command's name in logs.
[[nodiscard]] std::string_view command_name(CommandKind kind);

// A command for one attempt of a task. Commands are idempotent: a worker may receive one several times.
struct Command {
    CommandKind kind = CommandKind::kLaunch;
    TaskName name;
    uint64_t attempt = 0;
    Seconds grace_s = 0;  // with kStop: the grace period for saving a checkpoint
};

// Commands for one worker, no more than one body may hold. What does not fit is derived again from the
// worker's next heartbeat.
class CommandList {
  public:
    // Adds the command; returns false if there is no room for it.
    bool add(Command command);
    [[nodiscard]] std::vector<Command> take() && { return std::move(commands_); }

  private:
    std::vector<Command> commands_;
    double bytes_ = 0;
};

}  // namespace hareshore

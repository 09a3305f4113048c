// The commands by which the leader starts and stops tasks on a worker.
#pragma once
#include <cstdint>
#include <string_view>

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

}  // namespace hareshore

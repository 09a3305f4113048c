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
    kForget,  // drop an exited task from the heartbeats
};

// Its name in logs.
[[nodiscard]] std::string_view command_name(CommandKind kind);

// A command for one attempt at a task. Commands are idempotent: a worker may get one any number of times.
struct Command {
    CommandKind kind = CommandKind::kLaunch;
    TaskName name;
    uint64_t attempt = 0;
    Seconds grace_s = 0;  // with kStop: the time to save a checkpoint
};

}  // namespace hareshore

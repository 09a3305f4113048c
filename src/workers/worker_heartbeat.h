// The heartbeat of a worker: the status of its machine and of the tasks on it.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "model/task_name.h"

namespace hareshore {

// The phases of a task on a worker.
enum class TaskPhase : uint8_t {
    kFetching,  // fetching its image
    kWaiting,   // waiting for the other tasks of its gang
    kRunning,   // running, also while its gang is being stopped, until it exits
    kSaving,    // saving a checkpoint after being told to stop
    kExited,    // exited; included in heartbeats until a forget command
};

// Why a task exited.
enum class ExitCause : uint8_t {
    kNone,        // It has not exited.
    kDone,        // It completed.
    kStopped,     // It was stopped by a command.
    kPeersGone,   // Another task of its gang is no longer running.
    kIncomplete,  // Its gang was not complete within the time limit.
    kError,       // It failed because of the machine or of the job.
    kNoRoom,      // It was not started: the machine lacks free resources.
    kBusy,        // It was not started: another attempt of it is on the machine.
    kUnknownJob,  // It was not started: no such job or task has been submitted.
};

// The names of phases and causes in logs and on operator pages.
[[nodiscard]] std::string_view task_phase_name(TaskPhase phase);
[[nodiscard]] std::string_view exit_cause_name(ExitCause cause);

// The status of one task on the machine.
struct TaskStatus {
    TaskName name;
    uint64_t attempt = 0;
    TaskPhase phase = TaskPhase::kFetching;
    ExitCause cause = ExitCause::kNone;
    bool checkpoint_saved = false;  // with kStopped: a checkpoint was saved
};

// The part of a heartbeat that concerns the machine itself.
struct HeartbeatHeader {
    std::string machine;
    std::string addr;  // of the worker's server for direct commands, "10.0.0.1:8080"
    std::string machine_type;
    std::string zone;
    bool spot = false;
    uint64_t incarnation = 0;         // starts at 1, increases when the worker's lease expires
    uint64_t sequence = 0;            // increases with each heartbeat
    uint64_t fencing_token = 0;       // the highest one that the worker has seen
    std::optional<Seconds> notice_s;  // time until the spot instance is reclaimed; none without a notice

    [[nodiscard]] bool newer_than(uint64_t other_incarnation, uint64_t other_sequence) const {
        return incarnation > other_incarnation ||
               (incarnation == other_incarnation && sequence > other_sequence);
    }
};

struct WorkerHeartbeat : HeartbeatHeader {
    std::vector<TaskStatus> tasks;

    [[nodiscard]] const HeartbeatHeader& header() const { return *this; }
};

}  // namespace hareshore

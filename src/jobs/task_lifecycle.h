// The lifecycle of one task as a table of states and events. A task's state is not stored: it follows from
// its job and its placement. JobTable asks the table where it decides what becomes of a task.
#pragma once
#include <array>
#include <cstddef>
#include <cstdint>

#include "jobs/job.h"

namespace hareshore {

enum class TaskState : uint8_t {
    kPending,         // neither done nor placed
    kBound,           // placed; the key-value store does not hold the placement yet
    kCommitted,       // the store holds the placement; no launch was sent
    kInherited,       // placed by an earlier leader, which may have launched it; not reported since
    kLaunched,        // an answer to a heartbeat carried the launch; not reported yet
    kRunning,         // the machine has reported the attempt, which has not ended
    kStoppingUnsent,  // to be stopped, and never launched: it cannot be on the machine
    kStopping,        // to be stopped; it may be on the machine
    kDone,
};
inline constexpr size_t kTaskStates = 9;

enum class TaskEvent : uint8_t {
    kBind,             // the scheduler places the task
    kCommit,           // the store holds the placement
    kLaunchSent,       // an answer to the machine's heartbeat carries the launch
    kReported,         // the machine reports the placement's attempt as present
    kResult,           // the placement's attempt ended with its result; never of a service's replica
    kExit,             // the placement's attempt ended in any other way
    kAbandonedResult,  // an attempt that no placement accounts for ended with its result
    kAbsent,         // a heartbeat newer than the last launch lacks the attempt; only of committed placements
    kLaunchGivenUp,  // as kAbsent, and no launch can reach the machine or join the attempt any more
    kMachineDeleted,  // the cloud confirmed the deletion of the machine
    kStop,            // the scheduler or the scaling takes the machine's room back
    kCancel,          // the job is cancelled
};
inline constexpr size_t kTaskEvents = 12;

enum class Reaction : uint8_t {
    kAccepted,  // the task is in state `next` from now on, which may be the same
    kIgnored,   // the event changes nothing
    kRefused,   // the event must not be raised in this state
};

struct TaskTransition {
    Reaction reaction = Reaction::kRefused;
    TaskState next = TaskState::kPending;  // the same state unless accepted

    [[nodiscard]] constexpr bool accepted() const { return reaction == Reaction::kAccepted; }
    [[nodiscard]] constexpr bool moves_to(TaskState state) const { return accepted() && next == state; }
    bool operator==(const TaskTransition&) const = default;
};

namespace lifecycle_table {

using Row = std::array<TaskTransition, kTaskEvents>;

constexpr TaskTransition to(TaskState next) {
    return {Reaction::kAccepted, next};
}

// All transitions: a row each state, a column each event, both in the order of their enumerations.
constexpr std::array<Row, kTaskStates> make() {
    const TaskTransition ignored{Reaction::kIgnored, {}};
    const TaskTransition refused{Reaction::kRefused, {}};
    const TaskTransition pending = to(TaskState::kPending);
    const TaskTransition bound = to(TaskState::kBound);
    const TaskTransition committed = to(TaskState::kCommitted);
    const TaskTransition launched = to(TaskState::kLaunched);
    const TaskTransition running = to(TaskState::kRunning);
    const TaskTransition unsent = to(TaskState::kStoppingUnsent);
    const TaskTransition stopping = to(TaskState::kStopping);
    const TaskTransition done = to(TaskState::kDone);
    // clang-format off
    std::array<Row, kTaskStates> table{{
        // kBind, kCommit, kLaunchSent, kReported, kResult, kExit, kAbandonedResult, kAbsent, kLaunchGivenUp, kMachineDeleted, kStop, kCancel
        /* kPending        */ {{bound,   ignored,   refused,  ignored,  refused, refused, done,    ignored, ignored, ignored, ignored,  ignored}},
        /* kBound          */ {{refused, committed, refused,  running,  done,    pending, ignored, ignored, ignored, pending, unsent,   pending}},
        /* kCommitted      */ {{refused, ignored,   launched, running,  done,    pending, ignored, ignored, pending, pending, unsent,   pending}},
        /* kInherited      */ {{refused, ignored,   launched, running,  done,    pending, ignored, ignored, pending, pending, stopping, stopping}},
        /* kLaunched       */ {{refused, ignored,   launched, running,  done,    pending, ignored, ignored, pending, pending, stopping, stopping}},
        /* kRunning        */ {{refused, ignored,   refused,  running,  done,    pending, ignored, pending, pending, pending, stopping, stopping}},
        /* kStoppingUnsent */ {{refused, ignored,   refused,  stopping, done,    pending, ignored, pending, pending, pending, ignored,  pending}},
        /* kStopping       */ {{refused, ignored,   refused,  stopping, done,    pending, ignored, pending, pending, pending, ignored,  ignored}},
        /* kDone           */ {{refused, ignored,   refused,  ignored,  refused, refused, ignored, ignored, ignored, ignored, ignored,  ignored}},
    }};
    // clang-format on
    for (size_t state = 0; state < kTaskStates; ++state)
        for (TaskTransition& cell : table[state])
            if (!cell.accepted()) cell.next = static_cast<TaskState>(state);
    return table;
}

inline constexpr std::array<Row, kTaskStates> kTable = make();

}  // namespace lifecycle_table

// What the event makes of a task in this state.
constexpr const TaskTransition& transition(TaskState state, TaskEvent event) {
    return lifecycle_table::kTable[static_cast<size_t>(state)][static_cast<size_t>(event)];
}

// The state of a placed task of the job.
inline TaskState placed_state(const Job& job, const Placement& placement) {
    bool may_be_on_machine =
        placement.acknowledged || placement.launch.sent() || placement.from_earlier_leader;
    if (placement.stopping || job.cancelled)
        return may_be_on_machine ? TaskState::kStopping : TaskState::kStoppingUnsent;
    if (placement.acknowledged) return TaskState::kRunning;
    if (placement.launch.sent()) return TaskState::kLaunched;
    if (placement.from_earlier_leader) return TaskState::kInherited;
    return job.persistence.committed(placement.job_version) ? TaskState::kCommitted : TaskState::kBound;
}

// The state of any task of the job.
TaskState task_state(const Job& job, uint32_t task);

}  // namespace hareshore

// The state machine of a task: a table of states and events. A task's state is not stored but derived from
// its job and its placement. JobTable looks up its decisions about a task in the table.
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
    kInherited,       // placed by an earlier leader, which may have launched it; no heartbeat lists it yet
    kLaunched,        // a response to a heartbeat carried the launch; no heartbeat lists it yet
    kRunning,         // a heartbeat has listed the attempt, which has not ended
    kStoppingUnsent,  // to be stopped, never launched: it cannot be on the machine
    kStopping,        // to be stopped, may be on the machine
    kDone,
};
inline constexpr size_t kTaskStates = 9;

enum class TaskEvent : uint8_t {
    kBind,             // the scheduler places the task
    kCommit,           // the store holds the placement
    kLaunchSent,       // the response to the machine's heartbeat carries the launch
    kReported,         // a heartbeat lists the placement's attempt as present
    kResult,           // the placement's attempt succeeded; not raised for replicas of a service
    kExit,             // the placement's attempt ended in any other way
    kAbandonedResult,  // an attempt that matches no placement succeeded
    kAbsent,           // a heartbeat newer than the last launch lacks the attempt of a committed placement
    kLaunchGivenUp,    // as kAbsent, and no launch can reach the machine or join the gang's attempt any more
    kMachineDeleted,   // the cloud confirmed the deletion of the machine
    kStop,             // the scheduler or the autoscaler takes the machine's resources back
    kCancel,           // the job is cancelled
};
inline constexpr size_t kTaskEvents = 12;

enum class Reaction : uint8_t {
    kAccepted,  // the task moves to state `next`, which may be its present one
    kIgnored,   // the event changes nothing
    kRefused,   // the caller must not raise the event in this state
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

// All transitions: one row per state and one column per event, both in the order of their enumerations.
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

// The transition of a task in this state on this event.
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

// The state of any task of the job, placed or not.
TaskState task_state(const Job& job, uint32_t task);

}  // namespace hareshore

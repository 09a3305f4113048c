// The task state machine: the transition table for each pair of state and event, and that JobTable behaves as
// the table says.
#include <gtest/gtest.h>

#include <array>

#include "jobs/job_table.h"
#include "jobs/task_lifecycle.h"
#include "standins/scheduling_fixture.h"

namespace hareshore::test {

namespace {

using enum TaskState;
using enum TaskEvent;

constexpr std::array kStates{kPending, kBound,          kCommitted, kInherited, kLaunched,
                             kRunning, kStoppingUnsent, kStopping,  kDone};
constexpr std::array kEvents{kBind, kCommit,          kLaunchSent, kReported,      kResult,
                             kExit, kAbandonedResult, kAbsent,     kLaunchGivenUp, kMachineDeleted,
                             kStop, kCancel};

constexpr uint64_t kInheritedAttempt = 3;
constexpr uint64_t kUnknownAttempt = 99;

// A job with one task, brought into the given state, and the machine on which the task is placed.
class SingleTask {
  public:
    explicit SingleTask(TaskState state) : machine_(add_machine()), job_(add_job(state)) {
        switch (state) {
            case kPending:
            case kInherited:
                break;
            case kBound:
                bind();
                break;
            case kCommitted:
                bind_and_commit();
                break;
            case kLaunched:
                launch();
                break;
            case kRunning:
                run();
                break;
            case kStoppingUnsent:
                bind_and_commit();
                stop();
                break;
            case kStopping:
                run();
                stop();
                break;
            case kDone:
                run();
                exit_with(ExitCause::kDone);
                break;
        }
    }

    TaskState state() const { return task_state(job_, 0); }

    void raise(TaskEvent event) {
        switch (event) {
            case kBind:
                return bind();
            case kCommit:
                return commit();
            case kLaunchSent:
                jobs_.commands(machine_, LaunchCommands::kInclude);
                return;
            case kReported:
                return send_running_heartbeat();
            case kResult:
                return exit_with(ExitCause::kDone);
            case kExit:
                return exit_with(ExitCause::kStopped);
            case kAbandonedResult:
                return send_heartbeat_with(kUnknownAttempt, TaskPhase::kExited, ExitCause::kDone);
            case kAbsent:
                return send_heartbeat({}, Absence::kProven);
            case kLaunchGivenUp:
                machine_.unreachable_since = now_;
                return send_heartbeat({}, Absence::kProven);
            case kMachineDeleted:
                return jobs_.on_machine_deleted(machine_.name, now_);
            case kStop:
                return stop();
            case kCancel:
                return jobs_.cancel(job_, now_, now_);
        }
    }

  private:
    Machine& add_machine() {
        Machine& machine = cluster_.find_or_add("vm-1", now_);
        machine.zone = std::string("a");
        machine.machine_type = "g2";
        machine.heartbeat_received = machine.has_current_token = true;
        jobs_.apply_heartbeat(cluster_, machine, SchedulingTest::heartbeat(machine, {}), Absence::kProven,
                              now_);
        return machine;
    }
    Job& add_job(TaskState state) {
        JobRecord record;
        record.spec = SchedulingTest::job_spec("job-1", 1);
        if (state == kInherited) {
            record.live[0] = {kInheritedAttempt, "vm-1", "a"};
            record.next_attempt = kInheritedAttempt + 1;
        }
        return jobs_.load(record, 1, now_, {0});
    }

    void bind() { jobs_.bind(job_, 0, machine_, job_.next_attempt++, now_); }
    void commit() { job_.persistence.committed_version = job_.persistence.version; }
    void bind_and_commit() {
        bind();
        commit();
    }
    void launch() {
        bind_and_commit();
        auto commands = jobs_.commands(machine_, LaunchCommands::kInclude);
        ASSERT_EQ(SchedulingTest::count_launches(commands), 1U);
    }
    void run() {
        launch();
        send_running_heartbeat();
    }
    void stop() { jobs_.stop(job_, 0, StopMode::kSaveFirst); }

    void send_heartbeat(std::vector<TaskStatus> tasks, Absence absence) {
        now_ += 3;
        jobs_.apply_heartbeat(cluster_, machine_, SchedulingTest::heartbeat(machine_, std::move(tasks)),
                              absence, now_);
    }
    // Sends a heartbeat that lists this attempt, and does not prove that others are absent.
    void send_heartbeat_with(uint64_t attempt, TaskPhase phase, ExitCause cause) {
        send_heartbeat({SchedulingTest::task_status("job-1", 0, attempt, phase, cause)}, Absence::kUnproven);
    }
    uint64_t attempt() const {
        auto placed = job_.live.find(0);
        return placed == job_.live.end() ? kUnknownAttempt : placed->second.attempt;
    }
    void send_running_heartbeat() { send_heartbeat_with(attempt(), TaskPhase::kRunning, ExitCause::kNone); }
    void exit_with(ExitCause cause) { send_heartbeat_with(attempt(), TaskPhase::kExited, cause); }

    Cluster cluster_;
    JobTable jobs_;
    Seconds now_ = 100;
    Machine& machine_;
    Job& job_;
};

// The next state or the reaction, in the words of the table below.
std::string text_of(TaskState state, TaskEvent event) {
    constexpr std::array kNames{"pending", "bound",           "committed", "inherited", "launched",
                                "running", "stopping-unsent", "stopping",  "done"};
    const TaskTransition& transition_of = transition(state, event);
    if (transition_of.reaction == Reaction::kRefused) return "refused";
    if (transition_of.reaction == Reaction::kIgnored) return "ignored";
    return kNames.at(static_cast<size_t>(transition_of.next));
}

}  // namespace

TEST(TaskTransitions, TableMatchesExpectedTransitions) {
    using Row = std::array<const char*, kTaskEvents>;
    // One row per state in the order of kStates, one column per event in the order of kEvents.
    const std::array<Row, kTaskStates> expected{{
        {"bound", "ignored", "refused", "ignored", "refused", "refused", "done", "ignored", "ignored",
         "ignored", "ignored", "ignored"},
        {"refused", "committed", "refused", "running", "done", "pending", "ignored", "ignored", "ignored",
         "pending", "stopping-unsent", "pending"},
        {"refused", "ignored", "launched", "running", "done", "pending", "ignored", "ignored", "pending",
         "pending", "stopping-unsent", "pending"},
        {"refused", "ignored", "launched", "running", "done", "pending", "ignored", "ignored", "pending",
         "pending", "stopping", "stopping"},
        {"refused", "ignored", "launched", "running", "done", "pending", "ignored", "ignored", "pending",
         "pending", "stopping", "stopping"},
        {"refused", "ignored", "refused", "running", "done", "pending", "ignored", "pending", "pending",
         "pending", "stopping", "stopping"},
        {"refused", "ignored", "refused", "stopping", "done", "pending", "ignored", "pending", "pending",
         "pending", "ignored", "pending"},
        {"refused", "ignored", "refused", "stopping", "done", "pending", "ignored", "pending", "pending",
         "pending", "ignored", "ignored"},
        {"refused", "ignored", "refused", "ignored", "refused", "refused", "ignored", "ignored", "ignored",
         "ignored", "ignored", "ignored"},
    }};
    for (size_t state = 0; state < kTaskStates; ++state)
        for (size_t event = 0; event < kTaskEvents; ++event)
            EXPECT_EQ(text_of(kStates.at(state), kEvents.at(event)), expected.at(state).at(event))
                << "state " << state << ", event " << event;
}

TEST(TaskTransitions, StateChangesOnlyOnAcceptedEvents) {
    for (TaskState state : kStates)
        for (TaskEvent event : kEvents)
            if (!transition(state, event).accepted()) {
                EXPECT_EQ(transition(state, event).next, state);
            }
}

// Covers all pairs except the refused ones that the caller must not raise: binding a task that is placed or
// done, and the end of a placement's attempt when there is no placement.
TEST(TaskTransitions, JobTableFollowsTable) {
    size_t pairs = 0;
    for (TaskState state : kStates)
        for (TaskEvent event : kEvents) {
            const TaskTransition& expected = transition(state, event);
            bool raised_by_caller = event == kBind || event == kResult || event == kExit;
            if (raised_by_caller && expected.reaction == Reaction::kRefused) continue;
            SingleTask task(state);
            ASSERT_EQ(task.state(), state) << static_cast<int>(state);
            task.raise(event);
            EXPECT_EQ(task.state(), expected.next)
                << "state " << static_cast<int>(state) << ", event " << static_cast<int>(event);
            ++pairs;
        }
    EXPECT_EQ(pairs, kTaskStates * kTaskEvents - 12);
}

}  // namespace hareshore::test

// The lifecycle of a task from its placement to its end. Each test covers one way in which a task could be
// lost or run twice.
#include <gtest/gtest.h>

#include "standins/scheduling_fixture.h"
#include "standins/worker.h"
#include "workers/command.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

struct TaskLifecycle : SchedulingTest {};

}  // namespace

TEST_F(TaskLifecycle, LaunchesOnlyCommittedPlacements) {
    Job& job = add_job(job_spec("job-1", 1));
    Machine& machine = add_machine("vm-1");
    ASSERT_EQ(schedule_for({&machine}).size(), 1U);
    EXPECT_TRUE(jobs.awaits_commit(machine));
    EXPECT_EQ(count_launches(jobs.commands(machine, LaunchCommands::kInclude)), 0U);
    mark_committed(job);
    EXPECT_EQ(count_launches(jobs.commands(machine, LaunchCommands::kOmit)), 0U)
        << "commands outside heartbeat responses carry no launch";
    EXPECT_EQ(count_launches(jobs.commands(machine, LaunchCommands::kInclude)), 1U);
}

// The response that carries a launch is lost, so the next heartbeat does not list the task. The launch is
// sent again with the same attempt, and the task stays bound to the machine.
TEST_F(TaskLifecycle, RepeatsLaunchAfterLostResponse) {
    Job& job = add_job(job_spec("job-1", 1));
    Machine& machine = add_machine("vm-1");
    schedule_for({&machine});
    mark_committed(job);
    auto first = jobs.commands(machine, LaunchCommands::kInclude);
    jobs.apply_heartbeat(cluster, machine, heartbeat(machine, {}), Absence::kProven, now += 3);
    ASSERT_EQ(job.live.size(), 1U);
    auto second = jobs.commands(machine, LaunchCommands::kInclude);
    ASSERT_EQ(count_launches(second), 1U);
    EXPECT_EQ(first[0].attempt, second[0].attempt);
}

// A heartbeat sent before the launch proves nothing about it, however late it arrives. Nor does the reply to
// a command prove that a task is absent, since a response in flight may still carry its launch.
TEST_F(TaskLifecycle, LateHeartbeatDoesNotProveAbsence) {
    Job& job = add_job(job_spec("job-1", 1));
    Machine& machine = add_machine("vm-1");
    schedule_for({&machine});
    mark_committed(job);
    jobs.commands(machine, LaunchCommands::kInclude);
    WorkerHeartbeat late = heartbeat(machine, {});
    late.sequence = machine.sequence;  // of the heartbeat whose response carried the launch
    EXPECT_FALSE(late.newer_than(machine.incarnation, machine.sequence));
    jobs.apply_heartbeat(cluster, machine,
                         heartbeat(machine, {task_status("job-1", 0, 1, TaskPhase::kRunning)}),
                         Absence::kProven, now += 3);
    jobs.apply_heartbeat(cluster, machine, heartbeat(machine, {}), Absence::kUnproven, now += 1);
    EXPECT_EQ(job.live.size(), 1U);
}

// After a failover a placement counts until a machine that has the new fencing token sends a heartbeat
// without the task: before that, the previous leader's launch may still arrive.
TEST_F(TaskLifecycle, KeepsInheritedPlacementUntilAbsenceIsProven) {
    Job& job = add_job(job_spec("job-1", 1), {{0, {3, "vm-1", "a"}}});
    Machine& machine = cluster.find_or_add("vm-1", now);
    machine.machine_type = "g2";
    // The machine does not have the new fencing token yet.
    jobs.apply_heartbeat(cluster, machine, heartbeat(machine, {}), Absence::kUnproven, now);
    EXPECT_EQ(job.live.size(), 1U);
    Machine& other = add_machine("vm-2");
    EXPECT_TRUE(schedule_for({&other}).empty());
    jobs.apply_heartbeat(cluster, machine, heartbeat(machine, {}), Absence::kProven, now);
    // No heartbeat listed the task: the same attempt is launched on the same machine.
    auto commands = jobs.commands(machine, LaunchCommands::kInclude);
    ASSERT_EQ(count_launches(commands), 1U);
    EXPECT_EQ(commands[0].attempt, 3U);
    EXPECT_TRUE(schedule_for({&other}).empty());
}

TEST_F(TaskLifecycle, FreesPlacementOnSilentMachineOnlyAfterDeletion) {
    Job& job = add_job(job_spec("job-1", 1), {{0, {3, "vm-1", "a"}}});
    Machine& other = add_machine("vm-2");
    now += 100000;
    EXPECT_TRUE(schedule_for({&other}).empty());
    jobs.on_machine_deleted("vm-1", now);
    EXPECT_EQ(job.live.size(), 0U);
    EXPECT_EQ(schedule_for({&other}).size(), 1U);
    EXPECT_GT(job.live.at(0).attempt, 3U);
}

// A machine may forget an exit only after it is committed, and the next start has a new attempt number.
// Otherwise a repeated launch could run the same attempt twice.
TEST_F(TaskLifecycle, ForgetsOnlyCommittedExitsAndNeverReusesAttempts) {
    Job& job = add_job(job_spec("job-1", 1));
    Machine& machine = add_machine("vm-1");
    schedule_for({&machine});
    mark_committed(job);
    jobs.commands(machine, LaunchCommands::kInclude);
    auto exited = task_status("job-1", 0, 1, TaskPhase::kExited, ExitCause::kError);
    jobs.apply_heartbeat(cluster, machine, heartbeat(machine, {exited}), Absence::kProven, now += 3);
    EXPECT_TRUE(jobs.commands(machine, LaunchCommands::kInclude).empty()) << "the exit is not committed yet";
    mark_committed(job);
    auto commands = jobs.commands(machine, LaunchCommands::kInclude);
    ASSERT_EQ(commands.size(), 1U);
    EXPECT_EQ(commands[0].kind, CommandKind::kForget);
    Machine& other = add_machine("vm-2");
    now += 30;
    ASSERT_EQ(schedule_for({&other}).size(), 1U);
    EXPECT_EQ(job.live.at(0).attempt, 2U);
}

// No task of a gang may start anywhere until all tasks of its previous attempt have exited.
TEST_F(TaskLifecycle, RestartsGangOnlyAfterPreviousAttemptHasEnded) {
    Job& gang = add_job(job_spec("job-1", 2, JobKind::kGang));
    Machine &first = add_machine("vm-1"), &second = add_machine("vm-2");
    first.free = {};
    ASSERT_EQ(schedule_for({&first}).size(), 2U);
    mark_committed(gang);
    Machine& machine = *cluster.machine(gang.live.at(0).machine);
    auto task0 = task_status("job-1", 0, 1, TaskPhase::kRunning),
         task1 = task_status("job-1", 1, 1, TaskPhase::kRunning);
    jobs.apply_heartbeat(cluster, machine, heartbeat(machine, {task0, task1}), Absence::kProven, now += 3);
    EXPECT_TRUE(gang.gang_attempt.started());
    exit_task(task0, ExitCause::kPeersGone);
    jobs.apply_heartbeat(cluster, machine, heartbeat(machine, {task0, task1}), Absence::kProven, now += 3);
    EXPECT_TRUE(schedule_for({&first, &second}).empty());
    EXPECT_EQ(gang.wait.reason, WaitReason::kPreviousAttemptNotEnded);
    auto commands = jobs.commands(machine, LaunchCommands::kInclude);
    EXPECT_TRUE(std::any_of(commands.begin(), commands.end(),
                            [](auto& command) { return command.kind == CommandKind::kStop; }));
    exit_task(task1, ExitCause::kStopped);
    jobs.apply_heartbeat(cluster, machine, heartbeat(machine, {task0, task1}), Absence::kProven, now += 3);
    EXPECT_EQ(schedule_for({&first, &second}).size(), 2U);
    EXPECT_EQ(gang.live.at(0).attempt, 2U);
}

TEST_F(TaskLifecycle, GangIsDoneWithFirstDoneTaskAndOthersCountUntilTheyExit) {
    Job& gang = add_job(job_spec("job-1", 2, JobKind::kGang));
    Machine &first = add_machine("vm-1"), &second = add_machine("vm-2");
    schedule_for({&first});
    mark_committed(gang);
    Machine& machine = *cluster.machine(gang.live.at(0).machine);
    Machine& other = &machine == &first ? second : first;
    jobs.apply_heartbeat(cluster, machine,
                         heartbeat(machine, {task_status("job-1", 0, 1, TaskPhase::kRunning),
                                             task_status("job-1", 1, 1, TaskPhase::kRunning)}),
                         Absence::kProven, now);
    jobs.apply_heartbeat(cluster, machine,
                         heartbeat(machine, {task_status("job-1", 0, 1, TaskPhase::kExited, ExitCause::kDone),
                                             task_status("job-1", 1, 1, TaskPhase::kRunning)}),
                         Absence::kProven, now += 3);
    EXPECT_TRUE(gang.finished());
    recount_resources();
    EXPECT_EQ(cluster.teams["team"].gpus, 1.0);
    (void)other;
}

// A task that a heartbeat lists but that matches no placement is stopped. Until it has exited, its job
// starts no tasks elsewhere.
TEST_F(TaskLifecycle, StopsUnplacedTasksBeforeStartingOthers) {
    add_job(job_spec("job-1", 1));
    Machine &first = add_machine("vm-1"), &second = add_machine("vm-2");
    jobs.apply_heartbeat(cluster, first,
                         heartbeat(first, {task_status("job-1", 0, 77, TaskPhase::kRunning),
                                           task_status("job-9", 0, 1, TaskPhase::kRunning)}),
                         Absence::kProven, now);
    EXPECT_TRUE(schedule_for({&second}).empty());
    auto commands = jobs.commands(first, LaunchCommands::kInclude);
    ASSERT_EQ(commands.size(), 2U);
    EXPECT_EQ(commands[0].kind, CommandKind::kStop);
    EXPECT_EQ(commands[1].kind, CommandKind::kStop);
}

TEST_F(TaskLifecycle, CancelledJobIsNotLaunchedAndItsTasksAreStopped) {
    Job& job = add_job(job_spec("job-1", 3));
    Machine& machine = add_machine("vm-1");
    ASSERT_EQ(schedule_for({&machine}).size(), 2U);
    mark_committed(job);
    jobs.commands(machine, LaunchCommands::kInclude);
    jobs.cancel(job, now, now);
    EXPECT_TRUE(schedule_for({&machine}).empty());
    EXPECT_EQ(count_launches(jobs.commands(machine, LaunchCommands::kInclude)), 0U);
    // A launch that was in flight at the cancellation took effect.
    jobs.apply_heartbeat(cluster, machine,
                         heartbeat(machine, {task_status("job-1", 0, 1, TaskPhase::kRunning)}),
                         Absence::kProven, now += 3);
    auto commands = jobs.commands(machine, LaunchCommands::kInclude);
    ASSERT_EQ(commands.size(), 1U);
    EXPECT_EQ(commands[0].kind, CommandKind::kStop);
    EXPECT_EQ(commands[0].grace_s, 0);
}

// A task from its placement to its end, as the leader records it: each test is a way in which a rule could be
// broken.
#include <gtest/gtest.h>

#include "standins/scheduling_fixture.h"
#include "standins/worker.h"
#include "workers/command.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

struct TaskLifecycle : SchedulingTest {};

}  // namespace

TEST_F(TaskLifecycle, LaunchesOnlyWhatIsCommitted) {
    Job& job = add_job(job_spec("job-1", 1));
    Machine& machine = add_machine("vm-1");
    ASSERT_EQ(schedule_for({&machine}).size(), 1U);
    EXPECT_TRUE(jobs.awaits_commit(machine));
    EXPECT_EQ(count_launches(jobs.commands(machine, LaunchCommands::kInclude)), 0U);
    mark_committed(job);
    EXPECT_EQ(count_launches(jobs.commands(machine, LaunchCommands::kOmit)), 0U)
        << "a direct command carries no launch";
    EXPECT_EQ(count_launches(jobs.commands(machine, LaunchCommands::kInclude)), 1U);
}

// The response with the launch is lost: the next report does not list the task, and it is sent again with
// the same attempt. The task stays bound to this machine all the while.
TEST_F(TaskLifecycle, RepeatsALaunchWhoseResponseWasLost) {
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

// A report that was sent before the launch says nothing about it, however late it comes; and the answer
// of a direct command proves no absence, since a response may still carry the launch.
TEST_F(TaskLifecycle, LateHeartbeatsDisproveNothing) {
    Job& job = add_job(job_spec("job-1", 1));
    Machine& machine = add_machine("vm-1");
    schedule_for({&machine});
    mark_committed(job);
    jobs.commands(machine, LaunchCommands::kInclude);
    WorkerHeartbeat late = heartbeat(machine, {});
    late.sequence = machine.sequence;  // the report that was answered with the launch
    EXPECT_FALSE(late.newer_than(machine.incarnation, machine.sequence));
    jobs.apply_heartbeat(cluster, machine,
                         heartbeat(machine, {task_status("job-1", 0, 1, TaskPhase::kRunning)}),
                         Absence::kProven, now += 3);
    jobs.apply_heartbeat(cluster, machine, heartbeat(machine, {}), Absence::kUnproven, now += 1);
    EXPECT_EQ(job.live.size(), 1U);
}

// After a take-over a placement counts until a report from a machine that has seen the new epoch lacks it:
// before that, the last leader's launch may still arrive.
TEST_F(TaskLifecycle, InheritedPlacementsStayUntilDisproved) {
    Job& job = add_job(job_spec("job-1", 1), {{0, {3, "vm-1", "a"}}});
    Machine& machine = cluster.ensure("vm-1", now);
    machine.machine_type = "g2";
    jobs.apply_heartbeat(cluster, machine, heartbeat(machine, {}), Absence::kUnproven,
                         now);  // has not seen the epoch
    EXPECT_EQ(job.live.size(), 1U);
    Machine& other = add_machine("vm-2");
    EXPECT_TRUE(schedule_for({&other}).empty());
    jobs.apply_heartbeat(cluster, machine, heartbeat(machine, {}), Absence::kProven, now);
    // Never seen on the machine: it is launched there, still the same attempt on the same machine.
    auto commands = jobs.commands(machine, LaunchCommands::kInclude);
    ASSERT_EQ(count_launches(commands), 1U);
    EXPECT_EQ(commands[0].attempt, 3U);
    EXPECT_TRUE(schedule_for({&other}).empty());
}

TEST_F(TaskLifecycle, NoTimeoutFreesAPlacementOnlyTheDeletionDoes) {
    Job& job = add_job(job_spec("job-1", 1), {{0, {3, "vm-1", "a"}}});
    Machine& other = add_machine("vm-2");
    now += 100000;
    EXPECT_TRUE(schedule_for({&other}).empty());
    jobs.machine_deleted("vm-1", now);
    EXPECT_EQ(job.live.size(), 0U);
    EXPECT_EQ(schedule_for({&other}).size(), 1U);
    EXPECT_GT(job.live.at(0).attempt, 3U);
}

// Launch after forget: the exit is committed first, and the next start has another attempt.
TEST_F(TaskLifecycle, ForgetsOnlyWhatIsCommittedAndNeverReusesAnAttempt) {
    Job& job = add_job(job_spec("job-1", 1));
    Machine& machine = add_machine("vm-1");
    schedule_for({&machine});
    mark_committed(job);
    jobs.commands(machine, LaunchCommands::kInclude);
    auto exited = task_status("job-1", 0, 1, TaskPhase::kExited, ExitCause::kError);
    jobs.apply_heartbeat(cluster, machine, heartbeat(machine, {exited}), Absence::kProven, now += 3);
    EXPECT_TRUE(jobs.commands(machine, LaunchCommands::kInclude).empty()) << "the exit is not committed yet";
    mark_committed(job);
    auto o = jobs.commands(machine, LaunchCommands::kInclude);
    ASSERT_EQ(o.size(), 1U);
    EXPECT_EQ(o[0].kind, CommandKind::kForget);
    Machine& other = add_machine("vm-2");
    now += 30;
    ASSERT_EQ(schedule_for({&other}).size(), 1U);
    EXPECT_EQ(job.live.at(0).attempt, 2U);
}

// Until the last task of the old attempt has exited, no task of the gang may start anywhere.
TEST_F(TaskLifecycle, RestartsAGangOnlyWhenItsLastAttemptIsGone) {
    Job& gang = add_job(job_spec("job-1", 2, JobKind::kGang));
    Machine &first = add_machine("vm-1"), &y = add_machine("vm-2");
    first.free = {};
    ASSERT_EQ(schedule_for({&first}).size(), 2U);
    mark_committed(gang);
    Machine& machine = *cluster.machine(gang.live.at(0).machine);
    auto t0 = task_status("job-1", 0, 1, TaskPhase::kRunning),
         t1 = task_status("job-1", 1, 1, TaskPhase::kRunning);
    jobs.apply_heartbeat(cluster, machine, heartbeat(machine, {t0, t1}), Absence::kProven, now += 3);
    EXPECT_TRUE(gang.gang_attempt.started);
    exit_task(t0, ExitCause::kPeersGone);
    jobs.apply_heartbeat(cluster, machine, heartbeat(machine, {t0, t1}), Absence::kProven, now += 3);
    EXPECT_TRUE(schedule_for({&first, &y}).empty());
    EXPECT_EQ(gang.wait.reason, WaitReason::kOldAttempt);
    auto o = jobs.commands(machine, LaunchCommands::kInclude);
    EXPECT_TRUE(std::any_of(o.begin(), o.end(), [](auto& k) { return k.kind == CommandKind::kStop; }));
    exit_task(t1, ExitCause::kStopped);
    jobs.apply_heartbeat(cluster, machine, heartbeat(machine, {t0, t1}), Absence::kProven, now += 3);
    EXPECT_EQ(schedule_for({&first, &y}).size(), 2U);
    EXPECT_EQ(gang.live.at(0).attempt, 2U);
}

TEST_F(TaskLifecycle, AGangIsDoneWithItsFirstDoneTaskAndStillTakesRoomUntilReported) {
    Job& gang = add_job(job_spec("job-1", 2, JobKind::kGang));
    Machine &first = add_machine("vm-1"), &y = add_machine("vm-2");
    schedule_for({&first});
    mark_committed(gang);
    Machine& machine = *cluster.machine(gang.live.at(0).machine);
    Machine& other = &machine == &first ? y : first;
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

// A task that nothing confirms for is stopped, and its job does not start it elsewhere meanwhile.
TEST_F(TaskLifecycle, StopsUnplacedTasksAndStartsNothingBesideThem) {
    add_job(job_spec("job-1", 1));
    Machine &first = add_machine("vm-1"), &y = add_machine("vm-2");
    jobs.apply_heartbeat(cluster, first,
                         heartbeat(first, {task_status("job-1", 0, 77, TaskPhase::kRunning),
                                           task_status("job-9", 0, 1, TaskPhase::kRunning)}),
                         Absence::kProven, now);
    EXPECT_TRUE(schedule_for({&y}).empty());
    auto o = jobs.commands(first, LaunchCommands::kInclude);
    ASSERT_EQ(o.size(), 2U);
    EXPECT_EQ(o[0].kind, CommandKind::kStop);
    EXPECT_EQ(o[1].kind, CommandKind::kStop);
}

TEST_F(TaskLifecycle, ACancelledJobIsLaunchedNowhereAndStoppedEverywhere) {
    Job& job = add_job(job_spec("job-1", 3));
    Machine& machine = add_machine("vm-1");
    ASSERT_EQ(schedule_for({&machine}).size(), 2U);
    mark_committed(job);
    jobs.commands(machine, LaunchCommands::kInclude);
    jobs.cancel(job, now);
    EXPECT_TRUE(schedule_for({&machine}).empty());
    EXPECT_EQ(count_launches(jobs.commands(machine, LaunchCommands::kInclude)), 0U);
    // The launch was in flight and took effect.
    jobs.apply_heartbeat(cluster, machine,
                         heartbeat(machine, {task_status("job-1", 0, 1, TaskPhase::kRunning)}),
                         Absence::kProven, now += 3);
    auto o = jobs.commands(machine, LaunchCommands::kInclude);
    ASSERT_EQ(o.size(), 1U);
    EXPECT_EQ(o[0].kind, CommandKind::kStop);
    EXPECT_EQ(o[0].grace_s, 0);
}

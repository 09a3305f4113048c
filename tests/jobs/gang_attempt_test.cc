// Attempts of gangs that lose a task before they have started.
#include <gtest/gtest.h>

#include "standins/scheduling_fixture.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

constexpr uint64_t kAttempt = 1;           // of a gang placed for the first time
constexpr uint64_t kInheritedAttempt = 3;  // of a gang read from its record
constexpr Seconds kGangWait_s = 35;

// A gang of two tasks, each of which takes a whole machine. The first machine has the image, the second one
// fetches it.
struct GangAttempts : SchedulingTest {
    JobSpec gang_spec() {
        JobSpec spec = job_spec("job-1", 2, JobKind::kGang);
        spec.gpus = 2;
        spec.single_zone = true;
        return spec;
    }

    Job& launch_gang() {
        Job& gang = add_job(gang_spec());
        first.cache.use(gang.spec.image, gang.spec.image_gb);
        EXPECT_EQ(schedule_for({}).size(), 2U);
        mark_committed(gang);
        launch(first);
        launch(second);
        apply_heartbeat(first, {status_of(gang, first, TaskPhase::kWaiting)});
        apply_heartbeat(second, {status_of(gang, second, TaskPhase::kFetching)});
        return gang;
    }

    Job& inherit_gang(std::map<uint32_t, PlacementRecord> live) {
        Job& gang = add_job(gang_spec(), std::move(live));
        first.cache.use(gang.spec.image, gang.spec.image_gb);
        return gang;
    }

    size_t launch(Machine& machine) {
        return count_launches(jobs.commands(machine, LaunchCommands::kInclude));
    }

    static TaskStatus status_of(const Job& gang, const Machine& machine, TaskPhase phase,
                                ExitCause cause = ExitCause::kNone) {
        for (const auto& [task, placement] : gang.live)
            if (placement.machine == machine.name)
                return task_status(gang.spec.id, task, placement.attempt, phase, cause);
        ADD_FAILURE() << "no task of the gang is placed on " << machine.name;
        return {};
    }

    // The machine's task exits, and the record of its exit is stored.
    TaskStatus exit_on(Machine& machine, Job& gang, ExitCause cause) {
        now += kGangWait_s;
        TaskStatus exited = status_of(gang, machine, TaskPhase::kExited, cause);
        apply_heartbeat(machine, {exited});
        mark_committed(gang);
        return exited;
    }

    Machine& first = add_machine("vm-1");
    Machine& second = add_machine("vm-2");
};

}  // namespace

// Guards against a gang whose image takes longer to fetch than a task waits for its peers: each attempt gave
// up the fetch, and the gang never started.
TEST_F(GangAttempts, KeepFetchWhenTaskThatWaitsForPeersTimesOut) {
    Job& gang = launch_gang();
    TaskStatus exited = exit_on(first, gang, ExitCause::kIncomplete);
    EXPECT_EQ(count_stopping(gang), 0U) << "the second machine would give up its fetch";

    auto bindings = schedule_for({&first});
    ASSERT_EQ(bindings.size(), 1U);
    EXPECT_EQ(bindings[0].machine, &first);
    EXPECT_EQ(gang.live.at(bindings[0].task).attempt, kAttempt) << "the replacement joins the attempt";
    mark_committed(gang);
    EXPECT_EQ(launch(first), 0U) << "the worker would take the launch for a repetition";
    apply_heartbeat(first, {exited});  // sent before the forget command
    EXPECT_EQ(launch(first), 0U);
    apply_heartbeat(first, {});
    EXPECT_EQ(launch(first), 1U);

    apply_heartbeat(first, {status_of(gang, first, TaskPhase::kRunning)});
    apply_heartbeat(second, {status_of(gang, second, TaskPhase::kRunning)});
    EXPECT_TRUE(gang.gang_attempt.started());
    EXPECT_EQ(count_stopping(gang), 0U);
}

// Guards against a fetch that is given up because a peer's machine failed.
TEST_F(GangAttempts, KeepFetchWhenPeerFails) {
    Job& gang = launch_gang();
    exit_on(first, gang, ExitCause::kError);
    EXPECT_EQ(count_stopping(gang), 0U);
    Machine& third = add_machine("vm-3");
    auto bindings = schedule_for({&first, &third});
    ASSERT_EQ(bindings.size(), 1U);
    EXPECT_EQ(bindings[0].machine, &third) << "the gang avoids the machine on which it failed";
    EXPECT_EQ(gang.live.at(bindings[0].task).attempt, kAttempt);
}

// Without a fetch to keep, the attempt ends: its machines are free for other work while the gang waits.
TEST_F(GangAttempts, EndsWhenNoPeerOfTimedOutTaskFetches) {
    Job& gang = launch_gang();
    apply_heartbeat(second, {status_of(gang, second, TaskPhase::kWaiting)});
    exit_on(first, gang, ExitCause::kIncomplete);
    EXPECT_EQ(count_stopping(gang), 1U);
    EXPECT_TRUE(schedule_for({&first}).empty());
    EXPECT_EQ(gang.wait.reason, WaitReason::kPreviousAttemptNotEnded);
}

// Guards against a fetch that is given up because the leader changed after a peer had timed out.
TEST_F(GangAttempts, NewLeaderReplacesTaskOfAttemptThatStillFetches) {
    Job& gang = inherit_gang({{1, {kInheritedAttempt, "vm-2", "a"}}});
    EXPECT_EQ(count_stopping(gang), 0U);
    EXPECT_TRUE(schedule_for({&first}).empty()) << "it is not known yet whether the gang has started";
    apply_heartbeat(second, {status_of(gang, second, TaskPhase::kFetching)});
    ASSERT_EQ(schedule_for({&first}).size(), 1U);
    EXPECT_EQ(gang.live.at(0).attempt, kInheritedAttempt);
}

// Guards against a fetch that is given up because a peer times out after a change of the leader.
TEST_F(GangAttempts, NewLeaderKeepsFetchWhenPeerTimesOut) {
    Job& gang = inherit_gang({{0, {kInheritedAttempt, "vm-1", "a"}}, {1, {kInheritedAttempt, "vm-2", "a"}}});
    exit_on(first, gang, ExitCause::kIncomplete);
    EXPECT_EQ(count_stopping(gang), 0U) << "the other task may fetch";
    apply_heartbeat(second, {status_of(gang, second, TaskPhase::kFetching)});
    ASSERT_EQ(schedule_for({&first}).size(), 1U);
    EXPECT_EQ(gang.live.at(0).attempt, kInheritedAttempt);
}

// Guards against a task on two machines at once: a late copy of the heartbeat that listed the exit of a task
// must not end its replacement, which has the same attempt and was launched on the same machine since.
TEST_F(GangAttempts, LateExitDoesNotEndReplacementAtNewLeader) {
    Job& gang = inherit_gang({{0, {kInheritedAttempt, "vm-1", "a"}}, {1, {kInheritedAttempt, "vm-2", "a"}}});
    add_machine("vm-3");
    auto waiting = status_of(gang, first, TaskPhase::kWaiting);
    auto exited = status_of(gang, first, TaskPhase::kExited, ExitCause::kIncomplete);
    for (const TaskStatus& late : {exited, waiting, exited})
        jobs.apply_heartbeat(cluster, first, heartbeat(first, {late}), Absence::kUnproven, ++now);
    EXPECT_TRUE(gang.live.contains(0));
    apply_heartbeat(first, {exited});
    EXPECT_FALSE(gang.live.contains(0)) << "the machine has this leader's fencing token";
}

// The same without an earlier heartbeat that listed the task.
TEST_F(GangAttempts, FencedExitEndsInheritedTask) {
    for (Absence absence : {Absence::kProven, Absence::kFenced}) {
        Job& gang =
            inherit_gang({{0, {kInheritedAttempt, "vm-1", "a"}}, {1, {kInheritedAttempt, "vm-2", "a"}}});
        auto exited = status_of(gang, first, TaskPhase::kExited, ExitCause::kIncomplete);
        jobs.apply_heartbeat(cluster, first, heartbeat(first, {exited}), absence, ++now);
        EXPECT_FALSE(gang.live.contains(0));
        jobs.erase(gang.spec.id);
        apply_heartbeat(first, {});
    }
}

// A new leader ends an attempt that runs without one of its tasks.
TEST_F(GangAttempts, NewLeaderStopsGangThatRunsIncomplete) {
    Job& gang = inherit_gang({{1, {kInheritedAttempt, "vm-2", "a"}}});
    apply_heartbeat(second, {status_of(gang, second, TaskPhase::kRunning)});
    EXPECT_EQ(count_stopping(gang), 1U);
    EXPECT_TRUE(schedule_for({&first}).empty());
    EXPECT_EQ(gang.wait.reason, WaitReason::kPreviousAttemptNotEnded);
}

// Guards against an attempt that waits in vain because no machine is requested for a replacement.
TEST_F(GangAttempts, PlanRequestsMachineForReplacement) {
    Job& gang = launch_gang();
    delete_machine("vm-1");
    EXPECT_EQ(count_stopping(gang), 0U);
    ScalingPlan scaling = plan();
    ASSERT_EQ(scaling.scale_out.size(), 1U);
    EXPECT_EQ(scaling.scale_out[0].number, 1);
    EXPECT_EQ(scaling.scale_out[0].kind.zone, "a");
}

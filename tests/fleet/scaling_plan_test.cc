// Which machines a scaling plan requests, drains and deletes.
#include <gtest/gtest.h>

#include "base/constants.h"
#include "standins/scheduling_fixture.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

struct ScalingPlanRules : SchedulingTest {};

}  // namespace

TEST_F(ScalingPlanRules, DeletesSilentMachinesExceptInPartitionedZone) {
    for (int i = 0; i < 6; ++i) add_machine("vm-" + std::to_string(i)).last_heartbeat = now;
    Seconds last_heartbeat_at = now;
    now += 15;
    auto deletions_with_silent = [&](int silent) {
        for (int i = 0; i < 6; ++i)
            cluster.machine("vm-" + std::to_string(i))->last_heartbeat = i < silent ? last_heartbeat_at : now;
        recount_resources();
        ScalingInput input{config, settings, now, last_heartbeat_at, {}, {}, false};
        return plan_scaling(cluster, jobs, input).scale_in.size();
    };
    EXPECT_EQ(deletions_with_silent(1), 1U);
    EXPECT_EQ(deletions_with_silent(5), 0U) << "a partition of the controller is more likely";
    // Machines are not deleted one by one either when the others have only just become silent.
    for (int i = 1; i < 6; ++i) cluster.machine("vm-" + std::to_string(i))->last_heartbeat = now - 8;
    cluster.machine("vm-0")->last_heartbeat = last_heartbeat_at;
    ScalingInput input{config, settings, now, last_heartbeat_at, {}, {}, false};
    EXPECT_TRUE(plan_scaling(cluster, jobs, input).scale_in.empty());
    // No machines are requested in a partitioned zone, where they would be unreachable, and the silent ones
    // provide no capacity. A new leader that has received no heartbeat from them detects the partition by
    // the machines that the cloud lists as running. When the 260 machines of a zone were deleted and
    // requested again and again, the fleet lacked them once the partition ended.
    config.zones = {"a", "b"};
    add_job(job_spec("job-1", 4));
    for (bool heartbeat_received : {true, false}) {
        for (int i = 0; i < 6; ++i) {
            Machine& machine = *cluster.machine("vm-" + std::to_string(i));
            machine.last_heartbeat = last_heartbeat_at;
            machine.listed = true;
            machine.heartbeat_received = heartbeat_received;
        }
        now = last_heartbeat_at + 2 * config.lease_s;
        recount_resources();
        ScalingInput partitioned_input{config, settings, now, last_heartbeat_at, {}, {}, false};
        ScalingPlan plan = plan_scaling(cluster, jobs, partitioned_input);
        EXPECT_TRUE(plan.scale_in.empty()) << heartbeat_received;
        ASSERT_EQ(plan.scale_out.size(), 1U);
        EXPECT_EQ(plan.scale_out[0].kind.zone, "b");
        EXPECT_EQ(plan.scale_out[0].number, 2);
        partitioned_input.now = last_heartbeat_at + constants::kPartitionTimeoutLeases * config.lease_s + 1;
        EXPECT_EQ(plan_scaling(cluster, jobs, partitioned_input).scale_in.size(), 6U)
            << "they are deleted after the partition timeout";
        // The partition ends and most machines send heartbeats again: the others get the same timeout as
        // any machine that becomes silent.
        partitioned_input.now = now + 1;
        partitioned_input.partitioned_at["a"] = now;
        for (int i = 0; i < 4; ++i) {
            Machine& machine = *cluster.machine("vm-" + std::to_string(i));
            machine.heartbeat_received = true;
            machine.last_heartbeat = partitioned_input.now;
        }
        EXPECT_TRUE(std::ranges::none_of(plan_scaling(cluster, jobs, partitioned_input).scale_in,
                                         &ScaleInDecision::only_if_silent));
        partitioned_input.now += 2 * config.lease_s;
        for (int i = 0; i < 4; ++i)
            cluster.machine("vm-" + std::to_string(i))->last_heartbeat = partitioned_input.now;
        EXPECT_EQ(std::ranges::count_if(plan_scaling(cluster, jobs, partitioned_input).scale_in,
                                        &ScaleInDecision::only_if_silent),
                  2U);
    }
}

// Tasks are consolidated only if no job has arrived for a while, they can checkpoint and they fit
// elsewhere.
TEST_F(ScalingPlanRules, DrainsHalfUsedMachinesOnlyWhileNoJobsArrive) {
    config.teams[0].gpus_max = 0;
    Machine &first = add_machine("vm-1"), &second = add_machine("vm-2");
    JobSpec spec = job_spec("job-1", 2);
    spec.estimate_s = 500;
    Job& job = add_job(spec);
    jobs.bind(job, 0, first, 1, now);
    jobs.bind(job, 1, second, 2, now);
    mark_committed(job);
    jobs.apply_heartbeat(cluster, first, heartbeat(first, {task_status("job-1", 0, 1, TaskPhase::kRunning)}),
                         Absence::kProven, now);
    jobs.apply_heartbeat(cluster, second,
                         heartbeat(second, {task_status("job-1", 1, 2, TaskPhase::kRunning)}),
                         Absence::kProven, now);
    auto count_drained = [&] {
        first.last_heartbeat = second.last_heartbeat = now;
        recount_resources();
        ScalingInput input{config, settings, now, 0, {}, {}, false};
        return plan_scaling(cluster, jobs, input).drain.size();
    };
    now += settings.calm_s - 1;
    EXPECT_EQ(count_drained(), 0U);
    now += 40;
    EXPECT_EQ(count_drained(), 1U);
    job.spec.checkpoint_s = 0;
    EXPECT_EQ(count_drained(), 0U) << "a task without checkpoints is not moved";
}

// A cancelled task that is still on its machine after every lease granted to it has expired can only run on
// a hung machine. The machine must be deleted soon enough for cancel_s, even if its zone is silent.
TEST_F(ScalingPlanRules, MachineWithCancelledTaskIsDueForDeletionAfterLeaseExpiry) {
    config.cancel_s = 49;
    using Names = std::vector<std::string>;
    auto due = [&](Seconds receiving_since) {
        Names names;
        for (const auto& held : machines_with_cancelled_tasks(cluster, jobs, config, now, receiving_since))
            if (held.waits_for == DeletionCondition::kNone) names.push_back(held.machine);
        return names;
    };
    for (int i = 0; i < 6; ++i) add_machine("vm-" + std::to_string(i)).last_heartbeat = now;
    Job& job = add_job(job_spec("job-1", 1), {{0, {3, "vm-1", "a"}}});
    add_job(job_spec("job-2", 1), {{0, {3, "vm-2", "a"}}});
    now += 30;
    EXPECT_TRUE(due(0).empty()) << "missing heartbeats alone are no reason";
    cluster.machine("vm-1")->last_heartbeat = now - 1;
    jobs.cancel(job, now, now);
    now += 10;
    EXPECT_TRUE(due(0).empty()) << "it may still receive the stop command";
    now += config.lease_s - 8 + constants::kLeaseExpiryMargin_s;
    EXPECT_EQ(due(0), Names{"vm-1"}) << "its lease has expired";
    EXPECT_LT(now, job.cancelled_at + config.cancel_s - 15) << "this leaves time for a slow cloud";
    EXPECT_TRUE(due(now - 5).empty()) << "a leader whose process was stalled first waits for heartbeats";
    cluster.machine("vm-1")->last_heartbeat = now;
    EXPECT_EQ(due(0), Names{"vm-1"}) << "it sends heartbeats but receives no commands";
    // A leader that learns of the cancellation late counts from the machine's last heartbeat.
    jobs.cancel(*jobs.find("job-2"), now, now);
    EXPECT_EQ(due(0), (Names{"vm-1", "vm-2"}));
    cluster.machine("vm-1")->deleting = true;
    EXPECT_EQ(due(0), Names{"vm-2"});
    // A leader that inherits a cancellation without its time assumes that it is old: a machine that sends no
    // heartbeat is due soon.
    JobRecord record;
    record.spec = job_spec("job-3", 1);
    record.cancelled = true;
    record.cancelled_wall = WallTime{-assumed_cancellation_age(config)};
    record.live[0] = {4, "vm-9", "a"};
    jobs.load(record, 9, now, {0});
    cluster.find_or_add("vm-9", now);
    Seconds loaded = now;
    now += 5;
    EXPECT_TRUE(due(loaded).empty());
    now += 4;
    auto names = due(loaded);
    EXPECT_EQ(std::count(names.begin(), names.end(), "vm-9"), 1);
}

// Guards against a wait for heartbeats that begins anew with each leader, whatever is left of cancel_s.
TEST_F(ScalingPlanRules, NewLeaderWaitsForHeartbeatsOnlyAsLongAsTheCancellationAllows) {
    config.cancel_s = 49;
    config.heartbeat_interval_s = 5;
    const Seconds cancelled_at = now;
    JobRecord record;
    record.spec = job_spec("job-1", 1);
    record.cancelled = true;
    record.cancelled_wall = WallTime{0};
    record.live[0] = {4, "vm-1", "a"};
    struct Case {
        Seconds term_begins, due;  // after the cancellation
    };
    // The lease has expired for certain after 26.02 s; heartbeats take up to 11 s to arrive.
    for (const Case& expected :
         std::vector<Case>{{4, 27}, {15, 27}, {20, 30}, {28, 31}, {36, 39}, {44, 47}, {48, 51}}) {
        SCOPED_TRACE(expected.term_begins);
        jobs.clear();
        cluster.machines.clear();
        now = cancelled_at + expected.term_begins;
        jobs.load(record, 9, now, {expected.term_begins});
        cluster.find_or_add("vm-1", now);
        const Seconds receiving_since = now;
        auto due = [&] {
            return machines_with_cancelled_tasks(cluster, jobs, config, now, receiving_since)
                       .at(0)
                       .waits_for == DeletionCondition::kNone;
        };
        now = cancelled_at + expected.due - 1;
        EXPECT_FALSE(due());
        now = cancelled_at + expected.due + 0.1;
        EXPECT_TRUE(due());
    }
    // Once cancel_s has passed, a hurried deletion gains nothing.
    jobs.clear();
    now = cancelled_at + 60;
    jobs.load(record, 9, now, {60});
    now += 10.9;
    auto held = machines_with_cancelled_tasks(cluster, jobs, config, now, cancelled_at + 60);
    EXPECT_EQ(held.at(0).waits_for, DeletionCondition::kHeartbeats);
}

// A new leader receives a delayed copy of a heartbeat from before its term, of a machine that was deleted
// long ago.
TEST_F(ScalingPlanRules, DelayedHeartbeatProvidesNoCapacity) {
    settings.max_machines = 5;
    add_job(job_spec("job-1", 2));
    Machine& machine = add_machine("vm-1");
    machine.has_current_token = false;
    machine.last_heartbeat = now;
    recount_resources();
    EXPECT_FALSE(machine.schedulable);
    auto count_requested = [&] {
        ScalingInput input{config, settings, now, now, {}, {}, false};
        int n = 0;
        for (auto& request : plan_scaling(cluster, jobs, input).scale_out) n += request.number;
        return n;
    };
    EXPECT_EQ(count_requested(), 1) << "it provides no capacity";
    machine.listed = true;
    EXPECT_EQ(count_requested(), 0) << "a machine that the cloud lists provides capacity";
}

// Which machines are rented, drained and deleted.
#include <gtest/gtest.h>

#include "base/constants.h"
#include "standins/scheduling_fixture.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

struct ScalingPlanRules : SchedulingTest {};

}  // namespace

TEST_F(ScalingPlanRules, ReturnsSilentMachinesUnlessManyFallSilentAtOnce) {
    for (int i = 0; i < 6; ++i) add_machine("vm-" + std::to_string(i)).last_heartbeat = now;
    Seconds then = now;
    now += 15;
    auto silent = [&](int n) {
        for (int i = 0; i < 6; ++i)
            cluster.machine("vm-" + std::to_string(i))->last_heartbeat = i < n ? then : now;
        recount_resources();
        ScalingInput in{config, settings, now, then, {}, {}, false};
        return plan_scaling(cluster, jobs, in).scale_in.size();
    };
    EXPECT_EQ(silent(1), 1U);
    EXPECT_EQ(silent(5), 0U) << "more likely the controller is cut off";
    // Not one by one either, when the others have only just fallen quiet.
    for (int i = 1; i < 6; ++i) cluster.machine("vm-" + std::to_string(i))->last_heartbeat = now - 8;
    cluster.machine("vm-0")->last_heartbeat = then;
    ScalingInput in{config, settings, now, then, {}, {}, false};
    EXPECT_TRUE(plan_scaling(cluster, jobs, in).scale_in.empty());
    // Nor is anything rented where it would not be heard, and the silent ones are no room to count on. A new
    // leader, who has heard none of them, sees the cut by what the cloud lists as up. With the zone's 260
    // machines returned and rented anew again and again, the fleet was short of them when the cut was over.
    config.zones = {"a", "b"};
    add_job(job_spec("job-1", 4));
    for (bool heard : {true, false}) {
        for (int i = 0; i < 6; ++i) {
            Machine& machine = *cluster.machine("vm-" + std::to_string(i));
            machine.last_heartbeat = then;
            machine.listed = true;
            machine.heartbeat_received = heard;
        }
        now = then + 2 * config.lease_s;
        recount_resources();
        ScalingInput cut{config, settings, now, then, {}, {}, false};
        ScalingPlan plan = plan_scaling(cluster, jobs, cut);
        EXPECT_TRUE(plan.scale_in.empty()) << heard;
        ASSERT_EQ(plan.scale_out.size(), 1U);
        EXPECT_EQ(plan.scale_out[0].kind.zone, "b");
        EXPECT_EQ(plan.scale_out[0].number, 2);
        cut.now = then + constants::kPartitionTimeoutLeases * config.lease_s + 1;
        EXPECT_EQ(plan_scaling(cluster, jobs, cut).scale_in.size(), 6U) << "some day they are given up";
        // The cut ends, and most are heard again: the others have as long as any that falls silent.
        cut.now = now + 1;
        cut.partitioned_at["a"] = now;
        for (int i = 0; i < 4; ++i) {
            Machine& machine = *cluster.machine("vm-" + std::to_string(i));
            machine.heartbeat_received = true;
            machine.last_heartbeat = cut.now;
        }
        EXPECT_TRUE(std::ranges::none_of(plan_scaling(cluster, jobs, cut).scale_in,
                                         &ScaleInDecision::only_if_silent));
        cut.now += 2 * config.lease_s;
        for (int i = 0; i < 4; ++i) cluster.machine("vm-" + std::to_string(i))->last_heartbeat = cut.now;
        EXPECT_EQ(std::ranges::count_if(plan_scaling(cluster, jobs, cut).scale_in,
                                        &ScaleInDecision::only_if_silent),
                  2U);
    }
}

// Work is moved together only when no job has come for a while, and only if it can save and fits elsewhere.
TEST_F(ScalingPlanRules, DrainsHalfUsedMachinesOnlyWhileNoJobsArrive) {
    config.teams[0].gpus_max = 0;
    Machine &first = add_machine("vm-1"), &y = add_machine("vm-2");
    JobSpec spec = job_spec("job-1", 2);
    spec.estimate_s = 500;
    Job& job = add_job(spec);
    jobs.bind(job, 0, first, 1, now);
    jobs.bind(job, 1, y, 2, now);
    mark_committed(job);
    jobs.apply_heartbeat(cluster, first, heartbeat(first, {task_status("job-1", 0, 1, TaskPhase::kRunning)}),
                         Absence::kProven, now);
    jobs.apply_heartbeat(cluster, y, heartbeat(y, {task_status("job-1", 1, 2, TaskPhase::kRunning)}),
                         Absence::kProven, now);
    auto moved = [&] {
        first.last_heartbeat = y.last_heartbeat = now;
        recount_resources();
        ScalingInput in{config, settings, now, 0, {}, {}, false};
        return plan_scaling(cluster, jobs, in).drain.size();
    };
    now += settings.calm_s - 1;
    EXPECT_EQ(moved(), 0U);
    now += 40;
    EXPECT_EQ(moved(), 1U);
    job.spec.checkpoint_s = 0;
    EXPECT_EQ(moved(), 0U) << "what cannot save is not moved";
}

// A cancelled task that is still on its machine after any lease it was given can only be on one that hangs.
// The machine must go, and soon enough for cancel_s, however quiet its zone is.
TEST_F(ScalingPlanRules, AMachineWithCancelledTasksIsDueForDeletionAfterALease) {
    config.cancel_s = 49;
    auto due = [&](Seconds leading_since) {
        return machines_with_cancelled_tasks(cluster, jobs, config, now, leading_since);
    };
    using Names = std::vector<std::string>;
    for (int i = 0; i < 6; ++i) add_machine("vm-" + std::to_string(i)).last_heartbeat = now;
    Job& job = add_job(job_spec("job-1", 1), {{0, {3, "vm-1", "a"}}});
    add_job(job_spec("job-2", 1), {{0, {3, "vm-2", "a"}}});
    now += 30;
    EXPECT_TRUE(due(0).empty()) << "silence alone is no reason";
    cluster.machine("vm-1")->last_heartbeat = now - 1;
    jobs.cancel(job, now);
    now += 10;
    EXPECT_TRUE(due(0).empty()) << "it may hear the halt yet";
    now += config.lease_s - 8 + constants::kLeaseExpiryMargin_s;
    EXPECT_EQ(due(0), Names{"vm-1"}) << "its lease has ended";
    EXPECT_LT(now, job.cancellation_known_at + config.cancel_s - 15) << "the cloud may be slow";
    EXPECT_TRUE(due(now - 5).empty()) << "whoever stood still listens first";
    cluster.machine("vm-1")->last_heartbeat = now;
    EXPECT_EQ(due(0), Names{"vm-1"}) << "it reports, and hears nothing";
    // A leader that learns late counts from the machine's silence.
    jobs.cancel(*jobs.find("job-2"), now);
    EXPECT_EQ(due(0), (Names{"vm-1", "vm-2"}));
    cluster.machine("vm-1")->deleting = true;
    EXPECT_EQ(due(0), Names{"vm-2"});
    // One that inherits a cancellation does not know since when: a machine that does not come is due soon.
    JobRecord record;
    record.spec = job_spec("job-3", 1);
    record.cancelled = true;
    record.live[0] = {4, "vm-9", "a"};
    jobs.load(record, 9, now, {0});
    cluster.ensure("vm-9", now);
    Seconds loaded = now;
    now += 5;
    EXPECT_TRUE(due(loaded).empty());
    now += 4;
    auto names = due(loaded);
    EXPECT_EQ(std::count(names.begin(), names.end(), "vm-9"), 1);
}

// A new leader gets a late copy of a report, from before its epoch, of a machine that was deleted long ago.
TEST_F(ScalingPlanRules, ALateHeartbeatAtANewLeaderIsNoCapacity) {
    settings.max_machines = 5;
    add_job(job_spec("job-1", 2));
    Machine& machine = add_machine("vm-1");
    machine.has_current_token = false;
    machine.last_heartbeat = now;
    recount_resources();
    EXPECT_FALSE(machine.schedulable);
    auto rented = [&] {
        ScalingInput in{config, settings, now, now, {}, {}, false};
        int n = 0;
        for (auto& r : plan_scaling(cluster, jobs, in).scale_out) n += r.number;
        return n;
    };
    EXPECT_EQ(rented(), 1) << "it does not stand in for a machine";
    machine.listed = true;
    EXPECT_EQ(rented(), 0) << "one that the cloud lists does";
}

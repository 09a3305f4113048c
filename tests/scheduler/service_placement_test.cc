// Where replicas of services are placed, and what they preempt.
#include <gtest/gtest.h>

#include "base/constants.h"
#include "standins/scheduling_fixture.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

struct ServicePlacement : ServiceTest {};

}  // namespace

TEST_F(ServicePlacement, EndsNoOtherWorkAndYieldsToNone) {
    Machine& machine = add_machine("vm-1");
    JobSpec low = service_spec("job-1", 4);
    low.priority = PriorityClass::kIdle;
    low.cpus = 4;
    Job& job = add_job(low);
    settings.preempt_after_s = 0;
    now += 10;
    ASSERT_EQ(start_on({&machine}), 4U);
    now += 60;
    JobSpec gang_spec = batch_spec("job-2", 1, PriorityClass::kProduction);
    gang_spec.kind = JobKind::kGang;
    add_job(gang_spec);
    schedule_for({&machine});
    EXPECT_EQ(count_stopping(job), 0U);
}

// Nor is it expected to come free by itself, whatever its user gave as an estimate.
TEST_F(ServicePlacement, IsNotExpectedToComeFree) {
    Machine &first = add_machine("vm-1"), &y = add_machine("vm-2");
    JobSpec spec = service_spec("job-1", 1);
    spec.cpus = 16;
    spec.gpus = 1;
    spec.memory_gb = 8;
    spec.estimate_s = 30;
    add_job(spec);
    ASSERT_EQ(start_on({&first}), 1U);
    now += 25;
    report_tasks(first);
    // An array that waits is not put off until a replica ends.
    Job& busy = add_job(batch_spec("job-2", 1, PriorityClass::kStandard));
    jobs.bind(busy, 0, y, 1, now);
    Job& waits = add_job(batch_spec("job-3", 1, PriorityClass::kStandard));
    EXPECT_EQ(plan().scale_out.size(), 1U);
    jobs.erase(waits.spec.id);
    // And a gang that would need its machine is not in sight: what is kept for it meanwhile is lent.
    jobs.erase(busy.spec.id);
    JobSpec gang_spec = batch_spec("job-4", 2, PriorityClass::kStandard);
    gang_spec.kind = JobKind::kGang;
    add_job(gang_spec);
    add_job(batch_spec("job-5", 1, PriorityClass::kStandard));
    auto b = schedule_for({&y});
    ASSERT_EQ(b.size(), 1U);
    EXPECT_EQ(b[0].job->spec.id, "job-5");
}

TEST_F(ServicePlacement, OfProductionRankPreemptsLowerWorkAtOnce) {
    Machine& first = add_machine("vm-1");
    Job& low = add_job(batch_spec("job-1", 1, PriorityClass::kHigh));
    ASSERT_EQ(start_on({&first}), 1U);
    add_job(service_spec("job-2", 1));
    EXPECT_TRUE(schedule_for({&first}).empty());
    EXPECT_EQ(count_stopping(low), 1U);
    EXPECT_TRUE(schedule_for({&first}).empty()) << "not before the old task has exited";
    carry_out_commands(first);
    auto b = schedule_for({&first});
    ASSERT_FALSE(b.empty());
    EXPECT_EQ(b[0].job->spec.id, "job-2") << "it goes first";
}

// Also work within its team's guarantee, and a gang as a whole, if nothing else gives room.
TEST_F(ServicePlacement, OfProductionRankPreemptsGangsAndGuaranteedWorkOfLowerRank) {
    Team sure;
    sure.name = "sure";
    sure.gpus = 100;
    config.teams.push_back(sure);
    Machine &first = add_machine("vm-1"), &y = add_machine("vm-2");
    JobSpec gang_spec = batch_spec("job-1", 2, PriorityClass::kHigh);
    gang_spec.kind = JobKind::kGang;
    gang_spec.team = "sure";
    Job& gang = add_job(gang_spec);
    ASSERT_EQ(start_on({&first, &y}), 2U);
    // Of equal rank it does not.
    Job& equal = add_job(service_spec("job-2", 1));
    equal.spec.priority = PriorityClass::kHigh;
    schedule_for({&first, &y});
    EXPECT_EQ(count_stopping(gang), 0U);
    equal.spec.priority = PriorityClass::kProduction;
    schedule_for({&first, &y});
    EXPECT_EQ(count_stopping(gang), 2U);
}

// Room is made where the zones allow a replica, not where there is most to take.
TEST_F(ServicePlacement, PreemptsOnlyInZonesThatMayStillTakeAReplica) {
    Machine &in_a = add_machine("vm-1"), &b = add_machine("vm-2", "b");
    Job& low = add_job(batch_spec("job-2", 1, PriorityClass::kStandard));
    ASSERT_EQ(start_on({&b}), 1U);
    JobSpec spec = service_spec("job-1", 2);
    spec.spread_across_zones = true;
    Job& job = add_job(spec);
    ASSERT_EQ(schedule_for({&in_a}).size(), 1U) << "half, rounded up, though there is room for both";
    EXPECT_EQ(count_stopping(low), 1U);
    EXPECT_EQ(job.pending.size(), 1U);
    // Without the lower work it is a machine of that zone that is rented.
    jobs.erase("job-2");
    cluster.machines.erase("vm-2");
    ScalingPlan plan_made = plan();
    ASSERT_EQ(plan_made.scale_out.size(), 1U);
    EXPECT_EQ(plan_made.scale_out[0].kind.zone, "b");
}

TEST_F(ServicePlacement, SpreadsReplacementsAcrossZonesToo) {
    std::vector<Machine*> a, b;
    for (int i = 0; i < 4; ++i) a.push_back(&add_machine("vm-a" + std::to_string(i)));
    for (int i = 0; i < 4; ++i) b.push_back(&add_machine("vm-b" + std::to_string(i), "b"));
    JobSpec spec = service_spec("job-1", 5);
    spec.spread_across_zones = true;
    Job& job = add_job(spec);
    EXPECT_EQ(start_on(a), 3U);
    EXPECT_EQ(start_on(a), 0U) << "half, rounded up, is there";
    EXPECT_EQ(start_on(b), 2U);
    std::string lost;
    for (const auto& [task, p] : job.live)
        if (p.zone == "b") lost = p.machine;
    now += 60;
    jobs.machine_deleted(lost, now);
    cluster.machines.erase(lost);
    tasks_on.erase(lost);
    EXPECT_EQ(start_on(a), 0U);
    std::vector<Machine*> left;
    for (auto& [name, h] : cluster.machines)
        if (h->zone == "b") left.push_back(h.get());
    EXPECT_EQ(start_on(left), 1U);
    EXPECT_EQ(placements_by(job, &Placement::zone), (std::map<std::string, int>{{"a", 3}, {"b", 2}}));
}

// One loss takes one replica, and a wave of spot machines taken back at most half.
TEST_F(ServicePlacement, SpreadsOverMachinesAndKinds) {
    std::vector<Machine*> all;
    for (int i = 0; i < 4; ++i)
        all.push_back(&add_machine("vm-" + std::to_string(i), MachineKind{"g2", "a", i < 2}));
    JobSpec spec = service_spec("job-1", 4);
    spec.spot = true;
    Job& job = add_job(spec);
    EXPECT_EQ(start_on({all[0]}), 1U) << "the others of this machine wait for other machines";
    EXPECT_EQ(job.wait.reason, WaitReason::kDelayedForSpread);
    EXPECT_EQ(start_on(all), 3U);
    EXPECT_EQ(placements_by(job, &Placement::machine).size(), 4U);
    // Not for long: a machine that asks is better than one that may ask.
    Job& other_job = add_job(service_spec("job-2", 3));
    EXPECT_EQ(start_on({all[2]}), 1U);
    now += constants::kReplicaSpreadWait_s;
    EXPECT_EQ(start_on({all[2]}), 1U);
    now += constants::kReplicaSpreadWait_s;
    EXPECT_EQ(start_on({all[2]}), 1U);
    EXPECT_EQ(other_job.live.size(), 3U);
    // Three on spot machines would be too many of four.
    add_spot_machine("vm-9");
    spec.id = "job-3";
    Job& spot_job = add_job(spec);
    EXPECT_EQ(start_on({all[0], all[1], cluster.machine("vm-9")}), 2U);
    EXPECT_EQ(start_on({all[2], all[3]}), 2U);
    EXPECT_EQ(spot_job.live.size(), 4U);
}

TEST_F(ServicePlacement, WaitsForAnImageOnlyWhereThatIsSooner) {
    Machine &first = add_machine("vm-1"), &y = add_machine("vm-2");
    JobSpec spec = service_spec("job-1", 1);
    spec.image_gb = 1;  // fetched in a second; the holder's next report may be four away
    first.cache.use(spec.image, 1);
    add_job(spec);
    EXPECT_EQ(schedule_for({&y}).size(), 1U);
    spec.id = "job-2";
    spec.image_gb = 10;
    add_job(spec);
    EXPECT_TRUE(schedule_for({&y}).empty());
    EXPECT_EQ(schedule_for({&first}).size(), 1U);
    // For half as long as the fetch takes.
    spec.id = "job-3";
    spec.image_gb = 5;
    add_job(spec);
    EXPECT_TRUE(schedule_for({&y}).empty());
    now += 2.5;
    EXPECT_EQ(schedule_for({&y}).size(), 1U);
}

// Work that never ends is not lent what is kept for a gang, and is never late.
TEST_F(ServicePlacement, IsNotBackfilledAsShortWork) {
    config.wait_within["c"] = {2};
    JobSpec spec = service_spec("job-1", 1);
    spec.job_class = "c";
    spec.due_s = 5;
    spec.priority = PriorityClass::kIdle;
    spec.cpus = 16;
    Job& job = add_job(spec);
    now += 50;
    EXPECT_EQ(job.missed_objectives(config, now), 0);
    EXPECT_FALSE(job.likely_late(config, now));
    Machine &first = add_machine("vm-1"), &y = add_machine("vm-2");
    Job& busy = add_job(batch_spec("job-2", 1, PriorityClass::kStandard));
    jobs.bind(busy, 0, y, 1, now);
    JobSpec gang_spec = batch_spec("job-3", 2, PriorityClass::kStandard);
    gang_spec.kind = JobKind::kGang;
    add_job(gang_spec);
    EXPECT_TRUE(schedule_for({&first}).empty()) << "kept for the gang, which waits for the other machine";
}

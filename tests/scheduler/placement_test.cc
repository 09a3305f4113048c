// Placement rules: limits, zones, gangs and image locality.
#include <gtest/gtest.h>

#include "standins/scheduling_fixture.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

struct PlacementRules : SchedulingTest {};

}  // namespace

TEST_F(PlacementRules, CountsInheritedPlacementsAgainstTeamLimit) {
    add_job(job_spec("job-1", 3), {{0, {1, "vm-8", "a"}}, {1, {1, "vm-8", "a"}}, {2, {1, "vm-9", "a"}}});
    add_job(job_spec("job-2", 4));
    Machine& machine = add_machine("vm-1");
    EXPECT_EQ(schedule_for({&machine}).size(), 1U)
        << "three of four GPUs are in use on machines that have not sent a heartbeat yet";
}

TEST_F(PlacementRules, SingleZoneJobStaysInZoneOfInheritedPlacements) {
    JobSpec spec = job_spec("job-1", 3);
    spec.single_zone = true;
    add_job(spec, {{0, {1, "vm-8", "a"}}});
    Machine& in_b = add_machine("vm-1", "b");
    EXPECT_TRUE(schedule_for({&in_b}).empty());
    Machine& in_a = add_machine("vm-2", "a");
    EXPECT_EQ(schedule_for({&in_a}).size(), 2U);
}

TEST_F(PlacementRules, SpreadJobUsesAtMostHalfRoundedUpPerZone) {
    config.teams[0].gpus_max = 0;
    JobSpec spec = job_spec("job-1", 5);
    spec.spread_across_zones = true;
    add_job(spec);
    Machine &first = add_machine("vm-1"), &second = add_machine("vm-2");
    EXPECT_EQ(schedule_for({&first, &second}).size(), 3U);
}

TEST_F(PlacementRules, GangStartsOnlyWithRoomForAllTasks) {
    Job& gang = add_job(job_spec("job-1", 4, JobKind::kGang));
    Machine& first = add_machine("vm-1");
    EXPECT_TRUE(schedule_for({&first}).empty());
    EXPECT_EQ(gang.wait.reason, WaitReason::kGangRoom);
    add_machine("vm-2");
    EXPECT_EQ(schedule_for({&first}).size(), 4U);
    std::set<uint64_t> attempts;
    for (auto& [n, p] : gang.live) attempts.insert(p.attempt);
    EXPECT_EQ(attempts.size(), 1U) << "the tasks of a gang find each other by their attempt number";
}

TEST_F(PlacementRules, WaitsBrieflyForIdleMachineWithCachedImage) {
    Job& job = add_job(job_spec("job-1", 1));
    Machine &requesting = add_machine("vm-1"), &with_image = add_machine("vm-2");
    with_image.cache.set_capacity(50);
    with_image.cache.use(job.spec.image, 2);
    EXPECT_TRUE(schedule_for({&requesting}).empty());
    EXPECT_EQ(job.wait.reason, WaitReason::kDelayedForImage);
    now += settings.hold_s + 0.1;
    EXPECT_EQ(schedule_for({&requesting}).size(), 1U) << "the wait is bounded";
}

TEST_F(PlacementRules, PrefersLargerCachedImageAmongJobsOfSimilarAge) {
    add_job(job_spec("job-1", 1));
    JobSpec big = job_spec("job-2", 1);
    big.image_gb = 9;
    now += 1;
    add_job(big);
    Machine& machine = add_machine("vm-1");
    machine.cache.set_capacity(50);
    machine.cache.use("img-job-1", 2);
    machine.cache.use("img-job-2", 9);
    auto bindings = schedule_for({&machine});
    ASSERT_EQ(bindings.size(), 2U);
    EXPECT_EQ(bindings[0].job->spec.id, "job-2");
}

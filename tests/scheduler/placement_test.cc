// Where tasks are placed: limits, zones, gangs and images.
#include <gtest/gtest.h>

#include "standins/scheduling_fixture.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

struct PlacementRules : SchedulingTest {};

}  // namespace

TEST_F(PlacementRules, CountsInheritedPlacementsAgainstTheTeamsLimit) {
    add_job(job_spec("job-1", 3), {{0, {1, "vm-8", "a"}}, {1, {1, "vm-8", "a"}}, {2, {1, "vm-9", "a"}}});
    add_job(job_spec("job-2", 4));
    Machine& machine = add_machine("vm-1");
    EXPECT_EQ(schedule_for({&machine}).size(), 1U)
        << "three of four GPUs are in use on machines not heard of yet";
}

TEST_F(PlacementRules, KeepsAJobInTheZoneOfItsInheritedPlacements) {
    JobSpec spec = job_spec("job-1", 3);
    spec.single_zone = true;
    add_job(spec, {{0, {1, "vm-8", "a"}}});
    Machine& in_b = add_machine("vm-1", "b");
    EXPECT_TRUE(schedule_for({&in_b}).empty());
    Machine& in_a = add_machine("vm-2", "a");
    EXPECT_EQ(schedule_for({&in_a}).size(), 2U);
}

TEST_F(PlacementRules, PutsAtMostHalfRoundedUpIntoAZone) {
    config.teams[0].gpus_max = 0;
    JobSpec spec = job_spec("job-1", 5);
    spec.spread_across_zones = true;
    add_job(spec);
    Machine &first = add_machine("vm-1"), &y = add_machine("vm-2");
    EXPECT_EQ(schedule_for({&first, &y}).size(), 3U);
}

TEST_F(PlacementRules, StartsAGangOnlyWithRoomForAllTasks) {
    Job& gang = add_job(job_spec("job-1", 4, JobKind::kGang));
    Machine& first = add_machine("vm-1");
    EXPECT_TRUE(schedule_for({&first}).empty());
    EXPECT_EQ(gang.wait.reason, WaitReason::kGangRoom);
    add_machine("vm-2");
    EXPECT_EQ(schedule_for({&first}).size(), 4U);
    std::set<uint64_t> attempts;
    for (auto& [n, p] : gang.live) attempts.insert(p.attempt);
    EXPECT_EQ(attempts.size(), 1U) << "tasks of a gang find each other by their attempt";
}

TEST_F(PlacementRules, WaitsBrieflyForAnIdleHolderOfTheImage) {
    Job& job = add_job(job_spec("job-1", 1));
    Machine &asker = add_machine("vm-1"), &holder = add_machine("vm-2");
    holder.cache.set_capacity(50);
    holder.cache.use(job.spec.image, 2);
    EXPECT_TRUE(schedule_for({&asker}).empty());
    EXPECT_EQ(job.wait.reason, WaitReason::kDelayedForImage);
    now += settings.hold_s + 0.1;
    EXPECT_EQ(schedule_for({&asker}).size(), 1U) << "not for ever";
}

TEST_F(PlacementRules, PrefersTheLargerCachedImageAmongTasksOfSimilarAge) {
    add_job(job_spec("job-1", 1));
    JobSpec big = job_spec("job-2", 1);
    big.image_gb = 9;
    now += 1;
    add_job(big);
    Machine& machine = add_machine("vm-1");
    machine.cache.set_capacity(50);
    machine.cache.use("img-job-1", 2);
    machine.cache.use("img-job-2", 9);
    auto b = schedule_for({&machine});
    ASSERT_EQ(b.size(), 2U);
    EXPECT_EQ(b[0].job->spec.id, "job-2");
}

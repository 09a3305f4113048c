// Machines and limits that are reserved for a waiting gang.
#include <gtest/gtest.h>

#include "standins/scheduling_fixture.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

struct GangReservation : SchedulingTest {};

}  // namespace

// A waiting gang keeps the machines that come free, except for work that is over before it can start.
TEST_F(GangReservation, ReservesRoomForAWaitingGangAndBackfillsItWithShortWork) {
    config.teams[0].gpus_max = 0;
    Machine &first = add_machine("vm-1"), &y = add_machine("vm-2");
    JobSpec longer = job_spec("job-1", 1);
    longer.gpus = 2;
    longer.estimate_s = 200;
    Job& busy = add_job(longer);
    jobs.bind(busy, 0, y, 1, now);
    mark_committed(busy);
    jobs.apply_heartbeat(cluster, y, heartbeat(y, {task_status("job-1", 0, 1, TaskPhase::kRunning)}),
                         Absence::kProven, now);
    JobSpec gang_spec = job_spec("job-2", 2, JobKind::kGang);
    gang_spec.gpus = 2;
    gang_spec.single_zone = true;
    add_job(gang_spec);
    JobSpec slow = job_spec("job-3", 1), quick = job_spec("job-4", 1);
    slow.estimate_s = 300;
    quick.estimate_s = 20;
    now += 1;
    add_job(slow);
    EXPECT_TRUE(schedule_for({&first}).empty()) << "kept for the gang";
    add_job(quick);
    auto b = schedule_for({&first});
    ASSERT_EQ(b.size(), 1U);
    EXPECT_EQ(b[0].job->spec.id, "job-4");
}

// A gang that its team's limit keeps waiting: the team's own lower work yields, and small jobs of the team
// that come later do not take what comes free of the limit for ever.
TEST_F(GangReservation, ATeamsLimitIsReservedForItsWaitingGang) {
    Machine &first = add_machine("vm-1"), &y = add_machine("vm-2");
    add_machine("vm-3");
    Job& low = add_job(job_spec("job-1", 2));
    low.spec.priority = PriorityClass::kIdle;
    Job& same = add_job(job_spec("job-2", 2));
    ASSERT_EQ(schedule_for({&first, &y}).size(), 4U) << "the limit is used up";
    mark_committed(low);
    mark_committed(same);
    now += 1;
    Job& gang = add_job(job_spec("job-3", 3, JobKind::kGang));
    JobSpec idle = job_spec("job-5", 1);
    idle.priority = PriorityClass::kIdle;
    Job& lower = add_job(idle);
    config.teams[0].gpus_max = 5;
    EXPECT_TRUE(schedule_for({&first, &y, cluster.machine("vm-3")}).empty())
        << "what is free is kept from lower work";
    EXPECT_EQ(lower.wait.reason, WaitReason::kTeamLimit);
    config.teams[0].gpus_max = 4;
    now += settings.begin_bound_s + 1;
    schedule_for({&first});
    auto stopping = [&](Job& job) {
        return std::count_if(job.live.begin(), job.live.end(), [](auto& p) { return p.second.stopping; });
    };
    EXPECT_EQ(stopping(low), 0) << "stopping them would not do, there is too little of it";
    gang.spec.tasks = 2;
    gang.pending = Ranges::whole(2);
    schedule_for({&first});
    EXPECT_EQ(stopping(low), 2);
    EXPECT_EQ(stopping(same), 0);
    // Not enough came free, and a small job comes.
    gang.spec.tasks = 3;
    gang.pending = Ranges::whole(3);
    low.cancelled = true;
    for (const auto& r : std::vector(jobs.on_machine("vm-1")))
        if (r.job->spec.id == "job-1") jobs.machine_deleted("vm-1", now);
    add_job(job_spec("job-4", 1));
    EXPECT_TRUE(schedule_for({&first, &y}).empty()) << "what is free of the limit is kept";
    EXPECT_EQ(gang.wait.reason, WaitReason::kTeamLimit);
    // Now the limit would do, but machines are missing: it stays kept, or what was stopped for the gang
    // would be started again, and stopped again.
    config.teams[0].gpus_max = cluster.teams["team"].gpus + 2;
    gang.spec.tasks = 2;
    gang.spec.single_zone = true;
    gang.spec.zone = std::string("b");
    gang.pending = Ranges::whole(2);
    EXPECT_TRUE(schedule_for({&first, &y, cluster.machine("vm-3")}).empty());
    EXPECT_EQ(gang.wait.reason, WaitReason::kGangRoom);
}

// What is kept of the limit for a starved gang does not count against itself: it still keeps the machines
// that come free.
TEST_F(GangReservation, AStarvedGangReservesLimitAndMachines) {
    Machine &first = add_machine("vm-1"), &y = add_machine("vm-2");
    JobSpec longer = job_spec("job-1", 1);
    longer.gpus = 2;
    longer.estimate_s = 300;
    Job& busy = add_job(longer);
    jobs.bind(busy, 0, y, 1, now);
    mark_committed(busy);
    config.teams[0].gpus_max = 6;
    JobSpec gang_spec = job_spec("job-2", 2, JobKind::kGang);
    gang_spec.gpus = 2;
    gang_spec.single_zone = true;
    add_job(gang_spec);
    Team other;
    other.name = "other";
    config.teams.push_back(other);
    JobSpec theirs = job_spec("job-3", 1);
    theirs.team = "other";
    theirs.estimate_s = 900;
    now += settings.begin_bound_s + 1;
    add_job(theirs);
    EXPECT_TRUE(schedule_for({&first}).empty()) << "the machine is kept, from other teams as well";
    jobs.machine_deleted("vm-2", now);
    busy.done = Ranges::whole(1);
    busy.pending = {};
    EXPECT_EQ(schedule_for({&first, &y}).size(), 2U);
}

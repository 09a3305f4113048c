// Which waiting job is served first.
#include <gtest/gtest.h>

#include "standins/scheduling_fixture.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

struct QueueOrder : SchedulingTest {};

}  // namespace

// When more has come than can be done in time, serving the oldest first would make all of it late in turn.
TEST_F(QueueOrder, ServesWhatCanStillMakeItsDeadlineBeforeWhatCannot) {
    config.teams[0].gpus_max = 2;
    JobSpec old = job_spec("job-1", 4), young = job_spec("job-2", 2);
    old.due_s = young.due_s = 100;
    old.estimate_s = young.estimate_s = 60;
    add_job(old);
    now += 80;
    add_job(young);
    Machine& machine = add_machine("vm-1");
    auto b = schedule_for({&machine});
    ASSERT_EQ(b.size(), 2U);
    EXPECT_EQ(b[0].job->spec.id, "job-2");
    EXPECT_EQ(b[1].job->spec.id, "job-2");
}

// A large gang of low standing behind a stream of work that goes before it by priority, guarantee or
// lateness: after the bound it goes first, and what comes free is kept for it until it can begin.
TEST_F(QueueOrder, AStarvedJobGoesBeforeAllOthers) {
    config.teams[0].gpus_max = 0;
    Machine &first = add_machine("vm-1"), &y = add_machine("vm-2");
    JobSpec large = job_spec("job-1", 2, JobKind::kGang);
    large.gpus = 2;
    large.single_zone = true;
    large.priority = PriorityClass::kIdle;
    Job& old = add_job(large);
    JobSpec late = job_spec("job-2", 2);
    late.due_s = 10;
    late.priority = PriorityClass::kIdle;
    Job& overdue = add_job(late);
    int next = 10;
    auto stream = [&] {
        JobSpec spec = job_spec("job-" + std::to_string(next++), 4);
        spec.priority = PriorityClass::kHigh;
        return &add_job(spec);
    };
    stream();
    ASSERT_EQ(schedule_for({&first, &y}).size(), 4U);
    EXPECT_TRUE(old.live.empty());
    now += settings.begin_bound_s + 1;
    stream();
    // One machine comes free: it is kept, whatever else waits.
    jobs.machine_deleted("vm-1", now);
    EXPECT_TRUE(schedule_for({&first}).empty());
    jobs.erase("job-10");
    jobs.machine_deleted("vm-2", now);
    auto b = schedule_for({&first, &y});
    ASSERT_EQ(b.size(), 2U);
    EXPECT_EQ(b[0].job, &old);
    // The late array has its turn before what came after it, too, and only until it has begun.
    jobs.machine_deleted("vm-1", now);
    jobs.machine_deleted("vm-2", now);
    old.done = Ranges::whole(2);
    old.pending = {};
    b = schedule_for({&first, &y});
    ASSERT_EQ(b.size(), 4U);
    EXPECT_EQ(b[0].job, &overdue);
    EXPECT_NE(b[1].job, &overdue);
}

// In an overload an array that lost the aim for its start goes after one that can still make it.
TEST_F(QueueOrder, ServesArraysThatCanMakeTheirStartObjectiveFirst) {
    config.wait_within["c"] = {50, 100};
    config.teams[0].gpus_max = 2;
    JobSpec old = job_spec("job-1", 2), young = job_spec("job-2", 2);
    old.job_class = young.job_class = std::string("c");
    add_job(old);
    now += 60;
    add_job(young);
    Machine& machine = add_machine("vm-1");
    auto b = schedule_for({&machine});
    ASSERT_EQ(b.size(), 2U);
    EXPECT_EQ(b[0].job->spec.id, "job-2");
    EXPECT_EQ(b[1].job->spec.id, "job-2");
}

// A task that was stopped after its start has made its start aim or not; only its end is still open. Put
// behind the first starts of younger arrays for start aims that no longer matter, old arrays were not done in
// time.
TEST_F(QueueOrder, StartObjectivesDoNotHoldBackStartedJobs) {
    config.wait_within["c"] = {50, 100};
    config.finish_within["c"] = 400;
    JobSpec spec = job_spec("job-1", 2);
    spec.job_class = std::string("c");
    Job& old = add_job(spec);
    Machine& machine = add_machine("vm-1");
    ASSERT_EQ(schedule_for({&machine}).size(), 2U);
    mark_committed(old);
    now += 60;
    jobs.machine_deleted("vm-1", now);
    cluster.machines.erase("vm-1");
    spec.id = "job-2";
    add_job(spec);
    auto b = schedule_for({&add_machine("vm-2")});
    ASSERT_EQ(b.size(), 2U);
    EXPECT_EQ(b[0].job->spec.id, "job-1");
    EXPECT_EQ(b[1].job->spec.id, "job-1");
}

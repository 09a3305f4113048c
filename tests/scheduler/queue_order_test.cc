// The order in which waiting jobs are served.
#include <gtest/gtest.h>

#include "standins/scheduling_fixture.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

struct QueueOrder : SchedulingTest {};

}  // namespace

// Under overload, serving the oldest job first would make every job miss its deadline in turn.
TEST_F(QueueOrder, ServesJobsThatCanMeetTheirDeadlineFirst) {
    config.teams[0].gpus_max = 2;
    JobSpec old = job_spec("job-1", 4), young = job_spec("job-2", 2);
    old.due_s = young.due_s = 100;
    old.estimate_s = young.estimate_s = 60;
    add_job(old);
    now += 80;
    add_job(young);
    Machine& machine = add_machine("vm-1");
    auto bindings = schedule_for({&machine});
    ASSERT_EQ(bindings.size(), 2U);
    EXPECT_EQ(bindings[0].job->spec.id, "job-2");
    EXPECT_EQ(bindings[1].job->spec.id, "job-2");
}

// A large low-priority gang waits behind a stream of jobs that precede it by priority, guarantee or missed
// objectives. Once it is starved it is served first, and machines that become free are reserved for it
// until it can start.
TEST_F(QueueOrder, StarvedJobIsServedFirst) {
    config.teams[0].gpus_max = 0;
    Machine &first = add_machine("vm-1"), &second = add_machine("vm-2");
    JobSpec large = job_spec("job-1", 2, JobKind::kGang);
    large.gpus = 2;
    large.single_zone = true;
    large.priority = PriorityClass::kIdle;
    Job& old = add_job(large);
    JobSpec late = job_spec("job-2", 2);
    late.due_s = 10;
    late.priority = PriorityClass::kIdle;
    Job& overdue = add_job(late);
    int next_id = 10;
    auto add_high_priority_job = [&] {
        JobSpec spec = job_spec("job-" + std::to_string(next_id++), 4);
        spec.priority = PriorityClass::kHigh;
        return &add_job(spec);
    };
    add_high_priority_job();
    ASSERT_EQ(schedule_for({&first, &second}).size(), 4U);
    EXPECT_TRUE(old.live.empty());
    now += settings.begin_bound_s + 1;
    add_high_priority_job();
    // One machine becomes free and is reserved for the gang, whatever else waits.
    jobs.on_machine_deleted("vm-1", now);
    EXPECT_TRUE(schedule_for({&first}).empty());
    jobs.erase("job-10");
    jobs.on_machine_deleted("vm-2", now);
    auto bindings = schedule_for({&first, &second});
    ASSERT_EQ(bindings.size(), 2U);
    EXPECT_EQ(bindings[0].job, &old);
    // The starved array is also served before later jobs, but only until its first task has started.
    jobs.on_machine_deleted("vm-1", now);
    jobs.on_machine_deleted("vm-2", now);
    old.done = Ranges::whole(2);
    old.pending = {};
    bindings = schedule_for({&first, &second});
    ASSERT_EQ(bindings.size(), 4U);
    EXPECT_EQ(bindings[0].job, &overdue);
    EXPECT_NE(bindings[1].job, &overdue);
}

// Under overload, an array that missed its start objective is served after one that can still meet it.
TEST_F(QueueOrder, ServesArraysThatCanMeetTheirStartObjectiveFirst) {
    config.wait_within["c"] = {50, 100};
    config.teams[0].gpus_max = 2;
    JobSpec old = job_spec("job-1", 2), young = job_spec("job-2", 2);
    old.job_class = young.job_class = std::string("c");
    add_job(old);
    now += 60;
    add_job(young);
    Machine& machine = add_machine("vm-1");
    auto bindings = schedule_for({&machine});
    ASSERT_EQ(bindings.size(), 2U);
    EXPECT_EQ(bindings[0].job->spec.id, "job-2");
    EXPECT_EQ(bindings[1].job->spec.id, "job-2");
}

// Once a task has started, its start objective is met or missed for good; only the completion objective is
// still open. When preempted arrays were queued behind the first starts of younger arrays because of missed
// start objectives, old arrays were not completed in time.
TEST_F(QueueOrder, MissedStartObjectiveDoesNotDelayStartedJob) {
    config.wait_within["c"] = {50, 100};
    config.finish_within["c"] = 400;
    JobSpec spec = job_spec("job-1", 2);
    spec.job_class = std::string("c");
    Job& old = add_job(spec);
    Machine& machine = add_machine("vm-1");
    ASSERT_EQ(schedule_for({&machine}).size(), 2U);
    mark_committed(old);
    now += 60;
    jobs.on_machine_deleted("vm-1", now);
    cluster.machines.erase("vm-1");
    spec.id = "job-2";
    add_job(spec);
    auto bindings = schedule_for({&add_machine("vm-2")});
    ASSERT_EQ(bindings.size(), 2U);
    EXPECT_EQ(bindings[0].job->spec.id, "job-1");
    EXPECT_EQ(bindings[1].job->spec.id, "job-1");
}

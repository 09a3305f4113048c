// Which running tasks are preempted, and for which jobs.
#include <gtest/gtest.h>

#include "standins/scheduling_fixture.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

struct Preemption : SchedulingTest {};

}  // namespace

TEST_F(Preemption, PreemptsForGuaranteeButNotForEqualPriority) {
    config.teams[0].gpus_max = 0;
    Team guaranteed;
    guaranteed.name = "other";
    guaranteed.gpus = 2;
    config.teams.push_back(guaranteed);
    Machine& first = add_machine("vm-1");
    Job& low = add_job(job_spec("job-1", 2));
    low.spec.priority = PriorityClass::kStandard;
    low.spec.checkpoint_s = 100;
    schedule_for({&first});
    mark_committed(low);
    jobs.apply_heartbeat(cluster, first,
                         heartbeat(first, {task_status("job-1", 0, 1, TaskPhase::kRunning),
                                           task_status("job-1", 1, 2, TaskPhase::kRunning)}),
                         Absence::kProven, now);
    auto count_stopping_tasks = [&] {
        return std::count_if(low.live.begin(), low.live.end(), [](auto& p) { return p.second.stopping; });
    };
    JobSpec equal_priority = job_spec("job-2", 1, JobKind::kGang);
    add_job(equal_priority);
    schedule_for({&first});
    EXPECT_EQ(count_stopping_tasks(), 0) << "no preemption for equal priority";
    JobSpec guaranteed_job = job_spec("job-3", 1);
    guaranteed_job.team = "other";
    add_job(guaranteed_job);
    schedule_for({&first});
    EXPECT_EQ(count_stopping_tasks(), 1) << "one task is preempted for another team's guarantee";
    EXPECT_GT(std::max(low.live.at(0).grace_s, low.live.at(1).grace_s), 2) << "the task gets time to save";
}

// A high-priority gang needs two of four machines, all of which run preemptible work. It takes those where
// the least is lost: neither the tasks that have just started, which would not count as started, nor those
// that are furthest from their last checkpoint.
TEST_F(Preemption, PreemptsTasksWithLeastLoss) {
    config.teams[0].gpus_max = 0;
    std::vector<Job*> low;
    for (int i = 0; i < 4; ++i) {
        Machine& machine = add_machine("vm-" + std::to_string(i));
        Job& job = add_job(job_spec("job-" + std::to_string(i), 2));
        low.push_back(&job);
        schedule_for({&machine});
        for (auto& [n, p] : job.live) p.acknowledged = true;
    }
    now = 1000;
    Seconds running_since[] = {now - 5, now - 100, now - 109, now - 101};  // checkpoints are taken every 10 s
    for (size_t i = 0; i < 4; ++i)
        for (auto& [n, p] : low[i]->live) p.running_since = running_since[i];
    JobSpec spec = job_spec("job-9", 2, JobKind::kGang);
    spec.gpus = 2;
    spec.cpus = 8;
    spec.priority = PriorityClass::kHigh;
    add_job(spec);
    schedule_for({});
    auto count_stopping_tasks = [&](size_t i) {
        return std::count_if(low[i]->live.begin(), low[i]->live.end(),
                             [](auto& p) { return p.second.stopping; });
    };
    EXPECT_EQ(count_stopping_tasks(0), 0);
    EXPECT_EQ(count_stopping_tasks(1), 2);
    EXPECT_EQ(count_stopping_tasks(2), 0);
    EXPECT_EQ(count_stopping_tasks(3), 2);
}

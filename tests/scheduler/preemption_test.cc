// Which running work is preempted, and for what.
#include <gtest/gtest.h>

#include "standins/scheduling_fixture.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

struct Preemption : SchedulingTest {};

}  // namespace

TEST_F(Preemption, PreemptsOnlyWorkThatMustYield) {
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
    jobs.apply(cluster, first,
               heartbeat(first, {task_status("job-1", 0, 1, TaskPhase::kRunning),
                                 task_status("job-1", 1, 2, TaskPhase::kRunning)}),
               true, now);
    auto stopping = [&] {
        return std::count_if(low.live.begin(), low.live.end(), [](auto& p) { return p.second.stopping; });
    };
    JobSpec same = job_spec("job-2", 1, JobKind::kGang);
    add_job(same);
    schedule_for({&first});
    EXPECT_EQ(stopping(), 0) << "not for work of the same priority";
    JobSpec owed = job_spec("job-3", 1);
    owed.team = "other";
    add_job(owed);
    schedule_for({&first});
    EXPECT_EQ(stopping(), 1) << "for another team's guarantee, one task is enough";
    EXPECT_GT(std::max(low.live.at(0).grace_s, low.live.at(1).grace_s), 2) << "with time to save";
}

// A gang of high priority needs two whole machines of four that run work which yields. It takes those where
// least is lost: not those whose tasks have only just started, which would not even count as started, nor the
// one that is furthest from its last checkpoint.
TEST_F(Preemption, StopsWorkWhereLeastIsLost) {
    config.teams[0].gpus_max = 0;
    std::vector<Job*> low;
    for (int i = 0; i < 4; ++i) {
        Machine& machine = add_machine("vm-" + std::to_string(i));
        Job& job = add_job(job_spec("job-" + std::to_string(i), 2));
        low.push_back(&job);
        schedule_for({&machine});
        for (auto& [n, p] : job.live) p.seen = true;
    }
    now = 1000;
    Seconds began[] = {now - 5, now - 100, now - 109, now - 101};  // checkpoints come every 10 s
    for (size_t i = 0; i < 4; ++i)
        for (auto& [n, p] : low[i]->live) p.running_since = began[i];
    JobSpec spec = job_spec("job-9", 2, JobKind::kGang);
    spec.gpus = 2;
    spec.cpus = 8;
    spec.priority = PriorityClass::kHigh;
    add_job(spec);
    schedule_for({});
    auto stopping = [&](size_t i) {
        return std::count_if(low[i]->live.begin(), low[i]->live.end(),
                             [](auto& p) { return p.second.stopping; });
    };
    EXPECT_EQ(stopping(0), 0);
    EXPECT_EQ(stopping(1), 2);
    EXPECT_EQ(stopping(2), 0);
    EXPECT_EQ(stopping(3), 2);
}

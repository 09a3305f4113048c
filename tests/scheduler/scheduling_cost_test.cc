// The cost of scheduling passes and scaling plans, measured in steps.
#include <gtest/gtest.h>

#include "jobs/resource_accounting.h"
#include "standins/scheduling_fixture.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

struct SchedulingCost : SchedulingTest {};

}  // namespace

// The cost of deciding about a job with 100,000 pending tasks depends on the number of machines, not of
// tasks, and the job's record stays within the key-value store's limit for a value.
TEST_F(SchedulingCost, HugeJobCostsNoMoreThanItsMachines) {
    config.teams[0].gpus_max = 0;
    Job& job = add_job(job_spec("job-1", 100'000));
    std::vector<Machine*> machines;
    for (int i = 0; i < 40; ++i) machines.push_back(&add_machine("vm-" + std::to_string(100 + i)));
    EXPECT_EQ(schedule_for(machines).size(), 80U);
    EXPECT_LE(job.pending.range_count(), 1U);
    EXPECT_LT(job.to_record().pack(1).size(), config.value_bytes);
    settings.max_machines = 60;
    ScalingInput input{config, settings, now, now, {}, {}, false};
    auto plan = plan_scaling(cluster, jobs, input);
    int number = 0;
    for (auto& request : plan.scale_out) number += request.number;
    EXPECT_EQ(number, 80) << "up to the maximum number of machines in each of two zones, not one per task";
    // By default only the cloud's capacity bounds a zone: with a default of 200 machines per zone, a fleet
    // that needed 700 machines stayed at 400, and most jobs of a class were not served. The number of
    // outstanding requests stays bounded.
    settings.max_machines = 0;
    for (int i = 0; i < 260; ++i) add_machine("vm-b" + std::to_string(100 + i)).free = {};
    number = 0;
    for (auto& request : plan_scaling(cluster, jobs, input).scale_out) number += request.number;
    EXPECT_EQ(number, 300);
    input.pending_scale_out = {{{"g2", "a", false}, 50}, {{"g2", "b", false}, 50}};
    number = 0;
    for (auto& request : plan_scaling(cluster, jobs, input).scale_out) number += request.number;
    EXPECT_EQ(number, 200);
}

// The cost of a scheduling pass and of a scaling plan grows linearly with the fleet, although the number of
// waiting jobs grows with it, because jobs with equal requests are evaluated together. When each job was
// evaluated separately, 1,000 machines cost 16 times as much as 250, and a scheduling pass took longer than
// the leader's share of a core allows.
TEST_F(SchedulingCost, PassCostGrowsLinearlyWithFleet) {
    struct Cost {
        uint64_t pass = 0, plan = 0;
    };
    auto measure_cost = [&](int machines) {
        cluster.machines.clear();
        jobs.clear();
        config.teams[0].gpus_max = 0;
        std::vector<Machine*> fleet_machines;
        for (int i = 0; i < machines; ++i)
            fleet_machines.push_back(&add_machine("vm-" + std::to_string(10000 + i), i % 2 ? "a" : "b"));
        // Half of the fleet runs arrays that can be preempted, the other half arrays that cannot.
        for (int i = 0; i < machines; i += 10) {
            JobSpec spec = job_spec("job-" + std::to_string(i), 20);
            spec.priority = i % 20 ? PriorityClass::kIdle : PriorityClass::kHigh;
            Job& job = add_job(spec);
            for (uint32_t t = 0; t < 20; ++t)
                jobs.bind(job, t, *fleet_machines[static_cast<size_t>(i) + t / 2], 1, now).acknowledged =
                    true;
        }
        for (int i = 0; i < machines / 5; ++i) {
            JobSpec spec = job_spec("job-w" + std::to_string(i), i % 2 ? 1U << (i % 5) : 5,
                                    i % 2 ? JobKind::kGang : JobKind::kArray);
            spec.priority = i % 2 ? PriorityClass::kHigh : PriorityClass::kStandard;
            spec.single_zone = spec.gang();
            spec.image = "img-" + std::to_string(i % 6);
            add_job(spec);
        }
        Cost cost;
        recount_resources();
        SchedulerInput input{config, settings, now, {}, kNewestRecordFormat, &cost.pass};
        for (int i = 0; i < machines; i += 50)
            input.requesting_machines.push_back(fleet_machines[static_cast<size_t>(i)]);
        schedule(cluster, jobs, input);
        recount_resources();
        ScalingInput plan_input{config, settings, now, now, {}, {}, false, {}, &cost.plan};
        plan_scaling(cluster, jobs, plan_input);
        return cost;
    };
    Cost small = measure_cost(250), large = measure_cost(1000);
    EXPECT_GT(small.pass, 250U);
    EXPECT_LT(large.pass, 6 * small.pass) << small.pass << " to " << large.pass;
    EXPECT_LT(large.plan, 6 * small.plan + 1000) << small.plan << " to " << large.plan;
}

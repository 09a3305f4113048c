// Submissions of services whose replicas can never all run.
#include <gtest/gtest.h>

#include "standins/deployment.h"
#include "standins/scheduling_fixture.h"
#include "users/user_wire.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

struct ServiceSubmission : ServiceTest {};

}  // namespace

TEST_F(ServiceSubmission, RefusedIfReplicasCannotAllRun) {
    config.teams[0].cpus_max = 6;
    JobSpec spec = service_spec("job-1", 6);
    EXPECT_EQ(check_runnable(spec, config, cluster.machine_types), std::nullopt);
    spec.tasks = 7;
    EXPECT_NE(check_runnable(spec, config, cluster.machine_types), std::nullopt);
    spec.tasks = 1;
    spec.cpus = 17;
    EXPECT_NE(check_runnable(spec, config, cluster.machine_types), std::nullopt);
}

// All replicas of a service run at the same time, so the team's limits apply to their sum; for a job array
// they apply to a single task.
TEST(ServiceSubmissionResponses, RefuseServiceAboveTeamLimits) {
    Deployment deployment;
    deployment.configs[0].teams[0].gpus_max = 8;
    deployment.configs[0].teams[0].cpus_max = 20;
    deployment.start(0);
    ASSERT_TRUE(deployment.run_until([&] { return deployment.leader() == 0; }));
    deployment.run(1);
    auto submit = [&](const std::string& body) {
        return deployment.call(0, "POST", "/v2/runs", body).status;
    };
    EXPECT_EQ(submit(service_body("job-1", 9, 1, 1)), 422) << "9 GPUs exceed the limit of 8";
    EXPECT_EQ(submit(service_body("job-1", 21)), 422) << "21 CPUs exceed the limit of 20";
    EXPECT_EQ(submit(service_body("job-1", 1, 17)), 422) << "no machine type has 17 CPUs";
    EXPECT_EQ(deployment.call(0, "GET", "/v2/runs/job-1").status, 404);
    EXPECT_EQ(submit(service_body("job-1", 8, 1, 1)), 201);
    EXPECT_EQ(submit(service_body("job-2", 20)), 201)
        << "each job is within the limit, even if both cannot run at once";
    EXPECT_EQ(submit(service_body("job-1", 21)), 200) << "an accepted job is recognized by its id alone";
    EXPECT_EQ(submit(job_body("job-3", [](auto& fields) { set_tasks(fields, 9); })), 201);
}

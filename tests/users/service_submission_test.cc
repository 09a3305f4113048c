// Submissions of services that can never run as a whole.
#include <gtest/gtest.h>

#include "standins/deployment.h"
#include "standins/scheduling_fixture.h"
#include "users/user_wire.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

struct ServiceSubmission : ServiceTest {};

}  // namespace

TEST_F(ServiceSubmission, IsRefusedIfItsReplicasCannotAllRun) {
    config.teams[0].cpus_max = 6;
    JobSpec spec = service_spec("job-1", 6);
    EXPECT_EQ(check_runnable(spec, config, cluster.machine_types), std::nullopt);
    spec.tasks = 7;
    EXPECT_NE(check_runnable(spec, config, cluster.machine_types), std::nullopt);
    spec.tasks = 1;
    spec.cpus = 17;
    EXPECT_NE(check_runnable(spec, config, cluster.machine_types), std::nullopt);
}

// All replicas run at once, so that all of them count; of an array's tasks one is enough.
TEST(ServiceSubmissionAnswers, RefuseOneThatNeedsMoreThanItsTeamMayUse) {
    Deployment deployment;
    deployment.configs[0].teams[0].gpus_max = 8;
    deployment.configs[0].teams[0].cpus_max = 20;
    deployment.start(0);
    ASSERT_TRUE(deployment.until([&] { return deployment.leader() == 0; }));
    deployment.run(1);
    auto submit = [&](const std::string& body) {
        return deployment.call(0, "POST", "/v2/runs", body).status;
    };
    EXPECT_EQ(submit(service_body("job-1", 9, 1, 1)), 422) << "nine of eight GPUs";
    EXPECT_EQ(submit(service_body("job-1", 21)), 422) << "21 of 20 CPUs";
    EXPECT_EQ(submit(service_body("job-1", 1, 17)), 422) << "no machine has as many";
    EXPECT_EQ(deployment.call(0, "GET", "/v2/runs/job-1").status, 404);
    EXPECT_EQ(submit(service_body("job-1", 8, 1, 1)), 201);
    EXPECT_EQ(submit(service_body("job-2", 20)), 201) << "each by itself; together they wait for each other";
    EXPECT_EQ(submit(service_body("job-1", 21)), 200) << "known for ever, whatever the repeat says";
    EXPECT_EQ(submit(job_body("job-3", [](auto& fields) { set_tasks(fields, 9); })), 201);
}

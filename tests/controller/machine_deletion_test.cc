// Machines that are given up: when they are deleted, and when that must wait.
#include <gtest/gtest.h>

#include <algorithm>

#include "standins/deployment.h"

using namespace hareshore;
using namespace hareshore::test;

TEST(MachineDeletion, DeletesAnUnreachableMachineBeforeItsTasksStartElsewhere) {
    Deployment deployment;
    ASSERT_TRUE(deployment.start_and_elect());
    deployment.run(1);
    FakeWorker first, second;
    second.name = "vm-000002";
    deployment.settle(first);
    ASSERT_TRUE(deployment.launch(first, 0, "job-1"));
    deployment.cloud.down = true;
    for (int i = 0; i < 10; ++i) {
        deployment.run(3);
        deployment.send_report(second, 0);
        EXPECT_FALSE(second.find("job-1/0")) << "the first machine may still run it";
    }
    deployment.cloud.down = false;
    for (int i = 0; i < 4; ++i) {
        deployment.run(3);
        deployment.send_report(second, 0);
    }
    EXPECT_EQ(std::count(deployment.cloud.deleted.begin(), deployment.cloud.deleted.end(), "vm-000001"), 1);
    EXPECT_TRUE(second.find("job-1/0"));
}

// A leader that has lost the state service may have been followed by another without knowing. It goes on to
// answer workers as long as it may, but asks the cloud for nothing: cut off for 120 s, one returned the whole
// fleet, which by then was another's.
TEST(MachineDeletion, ALeaderThatIsNotConfirmedDeletesNoMachine) {
    Deployment deployment;
    ASSERT_TRUE(deployment.start_and_elect());
    deployment.run(1);
    FakeWorker worker;
    deployment.list_machine(worker);
    deployment.settle(worker);
    deployment.store.silent = true;
    deployment.run(60);
    EXPECT_TRUE(deployment.cloud.deleted.empty());
    deployment.store.silent = false;
    deployment.run(60);
    EXPECT_EQ(deployment.cloud.deleted.size(), 1U) << "once it is confirmed, or leads anew";
}

// Nor what holds cancelled work, if a peer does not answer: it may lead by now.
TEST(MachineDeletion, ALeaderThatMayHaveBeenReplacedDeletesNoMachine) {
    Deployment deployment(2);
    ASSERT_TRUE(deployment.start_and_elect());
    int first = deployment.leader();
    deployment.run(6);
    FakeWorker worker;
    deployment.list_machine(worker);
    deployment.settle(worker);
    ASSERT_TRUE(deployment.launch(worker, first, "job-1"));
    ASSERT_EQ(phase_of(deployment.call(first, "POST", "/v2/runs/job-1/withdraw")), "withdrawn");
    deployment.store.silent = true;
    deployment.kill(1 - first);
    deployment.run(60);
    EXPECT_TRUE(deployment.cloud.deleted.empty());
}

// The cloud is away when a silent machine is given up, and the machine is heard again before it is back.
TEST(MachineDeletion, KeepsAMachineThatReportsBeforeItCouldBeDeleted) {
    Deployment deployment;
    ASSERT_TRUE(deployment.start_and_elect());
    deployment.run(1);
    FakeWorker first, second;
    second.name = "vm-000002";
    deployment.settle(first);
    deployment.settle(second);
    deployment.cloud.down = true;
    deployment.run(20);
    EXPECT_EQ(deployment.send_report(first, 0), 200);
    deployment.cloud.down = false;
    deployment.run(4);
    EXPECT_EQ(deployment.cloud.deleted, std::vector<std::string>{"vm-000002"});
    ASSERT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-1")).status, 201);
    deployment.send_report(first, 0);
    EXPECT_TRUE(first.find("job-1/0")) << "it is of use again";
}

// When the leader deletes unreachable machines, and when it must not.
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
    deployment.register_worker(first);
    ASSERT_TRUE(deployment.launch(first, 0, "job-1"));
    deployment.cloud.down = true;
    for (int i = 0; i < 10; ++i) {
        deployment.run(3);
        deployment.send_heartbeat(second, 0);
        EXPECT_FALSE(second.find("job-1/0")) << "launched while the first machine may still run the task";
    }
    deployment.cloud.down = false;
    for (int i = 0; i < 4; ++i) {
        deployment.run(3);
        deployment.send_heartbeat(second, 0);
    }
    EXPECT_EQ(std::count(deployment.cloud.deleted.begin(), deployment.cloud.deleted.end(), "vm-000001"), 1);
    EXPECT_TRUE(second.find("job-1/0"));
}

// A leader that cannot reach the store may have been replaced without knowing. It keeps responding to workers
// while that is safe, but sends the cloud no requests: a leader without store access for 120 s once returned
// the whole fleet, which by then belonged to its successor.
TEST(MachineDeletion, UnconfirmedLeaderDeletesNoMachine) {
    Deployment deployment;
    ASSERT_TRUE(deployment.start_and_elect());
    deployment.run(1);
    FakeWorker worker;
    deployment.list_machine(worker);
    deployment.register_worker(worker);
    deployment.store.unresponsive = true;
    deployment.run(60);
    EXPECT_TRUE(deployment.cloud.deleted.empty());
    deployment.store.unresponsive = false;
    deployment.run(60);
    EXPECT_EQ(deployment.cloud.deleted.size(), 1U)
        << "a confirmed leader must delete the unreachable machine";
}

// The same holds for a machine with cancelled tasks while a peer does not respond: the peer may lead by now.
TEST(MachineDeletion, PossiblyReplacedLeaderDeletesNoMachine) {
    Deployment deployment(2);
    ASSERT_TRUE(deployment.start_and_elect());
    int first = deployment.leader();
    deployment.run(6);
    FakeWorker worker;
    deployment.list_machine(worker);
    deployment.register_worker(worker);
    ASSERT_TRUE(deployment.launch(worker, first, "job-1"));
    ASSERT_EQ(phase_of(deployment.call(first, "POST", "/v2/runs/job-1/withdraw")), "withdrawn");
    deployment.store.unresponsive = true;
    deployment.kill(1 - first);
    deployment.run(60);
    EXPECT_TRUE(deployment.cloud.deleted.empty());
}

// A machine becomes unreachable during a cloud outage and sends heartbeats again before the outage ends.
TEST(MachineDeletion, KeepsMachineThatReturnsBeforeItsDeletion) {
    Deployment deployment;
    ASSERT_TRUE(deployment.start_and_elect());
    deployment.run(1);
    FakeWorker first, second;
    second.name = "vm-000002";
    deployment.register_worker(first);
    deployment.register_worker(second);
    deployment.cloud.down = true;
    deployment.run(20);
    EXPECT_EQ(deployment.send_heartbeat(first, 0), 200);
    deployment.cloud.down = false;
    deployment.run(4);
    EXPECT_EQ(deployment.cloud.deleted, std::vector<std::string>{"vm-000002"});
    ASSERT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-1")).status, 201);
    deployment.send_heartbeat(first, 0);
    EXPECT_TRUE(first.find("job-1/0")) << "the machine must get tasks again";
}

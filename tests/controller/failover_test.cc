// Changes of the leader: what the next one takes over, and what the last one can no longer do.
#include <gtest/gtest.h>

#include "standins/deployment.h"

using namespace hareshore;
using namespace hareshore::test;

TEST(Failover, AnotherTakesOverAndKeepsWhatRuns) {
    Deployment deployment(2);
    ASSERT_TRUE(deployment.start_and_elect());
    int first = deployment.leader(), second = 1 - first;
    deployment.run(1);
    FakeWorker worker;
    deployment.settle(worker);
    uint64_t fencing_token = worker.fencing_token;
    ASSERT_EQ(deployment.call(second, "POST", "/v2/runs", job_body("job-1")).status, 201)
        << "any node serves users";
    deployment.send_report(worker, first);
    deployment.send_report(worker, first);
    ASSERT_TRUE(worker.find("job-1/0"));
    EXPECT_EQ(deployment.send_report(worker, second), 421);
    deployment.kill(first);
    ASSERT_TRUE(deployment.until([&] { return deployment.leader() == second; }, 15));
    deployment.settle(worker);
    EXPECT_GT(worker.fencing_token, fencing_token);
    deployment.send_report(worker, second);
    ASSERT_TRUE(worker.find("job-1/0"));
    EXPECT_EQ(worker.find("job-1/0")->attempt, 1U);
    EXPECT_EQ(worker.find("job-1/0")->phase, TaskPhase::kRunning);
}

// A report from before a launch comes late, and to a new leader. Its epoch is old: the answer with the launch
// may have come after it, so that what it lacks may be there all the same.
TEST(Failover, AnOldHeartbeatProvesNoAbsenceToANewLeader) {
    Deployment deployment(2);
    ASSERT_TRUE(deployment.start_and_elect());
    int first = deployment.leader();
    deployment.run(3);
    FakeWorker worker;
    deployment.settle(worker);
    auto gang = [](auto& fields) { make_gang(fields); };
    ASSERT_EQ(deployment.call(first, "POST", "/v2/runs", job_body("job-1", gang)).status, 201);
    FakeWorker before = worker;
    deployment.send_report(worker, first);
    deployment.send_report(worker, first);
    ASSERT_TRUE(worker.find("job-1/0"));
    deployment.kill(first);
    deployment.store.expire_lease(deployment.store.rows.at("leader").lease);
    ASSERT_TRUE(deployment.until([&] { return deployment.leader() >= 0; }));
    int second = deployment.leader();
    deployment.run(1);
    before.deaf = true;
    deployment.send_report(before, second);
    FakeWorker other;
    other.name = "vm-000002";
    deployment.settle(other);
    deployment.send_report(other, second);
    EXPECT_FALSE(other.find("job-1/0")) << "it runs where it was";
    EXPECT_EQ(deployment.node(second).leader()->jobs().find("job-1")->live.size(), 1U);
}

// A leader's transaction is held up, the leader is deposed, and the transaction arrives after all.
TEST(Failover, ADeposedLeadersLateTransactionChangesNothing) {
    Deployment deployment(2);
    ASSERT_TRUE(deployment.start_and_elect());
    int first = deployment.leader();
    deployment.run(1);
    FakeWorker worker;
    deployment.settle(worker);
    bool hold = false;
    deployment.store.let_through = [&](const std::string& body) {
        // The leader's only write of this job: its placement.
        return !(hold && body.find("j/job-1") != std::string::npos &&
                 body.find("leader") != std::string::npos);
    };
    hold = true;
    ASSERT_EQ(deployment.call(1 - first, "POST", "/v2/runs", job_body("job-1")).status, 201);
    deployment.send_report(worker, first);
    ASSERT_FALSE(deployment.store.held_transactions.empty()) << "the placement's transaction is on its way";
    EXPECT_FALSE(worker.find("job-1/0")) << "nothing is launched before its commit";
    deployment.kill(first);
    hold = false;
    ASSERT_TRUE(deployment.until([&] { return deployment.leader() == 1 - first; }, 15));
    std::string before = deployment.store.rows.at("j/job-1").data;
    for (const auto& body : deployment.store.held_transactions)
        EXPECT_EQ(deployment.store.apply(body).status, 409);
    EXPECT_EQ(deployment.store.rows.at("j/job-1").data, before);
    deployment.settle(worker);
    deployment.send_report(worker, deployment.leader());
    EXPECT_TRUE(worker.find("job-1/0")) << "the new leader starts it";
}

// A leader that keeps the state service but that no worker reaches gives way to one that they reach.
TEST(Failover, ALeaderCutOffFromTheWorkersResigns) {
    Deployment deployment(2);
    ASSERT_TRUE(deployment.start_and_elect());
    int first = deployment.leader();
    auto workers = deployment.settled_workers(4);
    // Busy machines are answered at once.
    ASSERT_EQ(
        deployment
            .call(first, "POST", "/v2/runs", job_body("job-1", [](auto& fields) { set_tasks(fields, 8); }))
            .status,
        201);
    for (int i = 0; i < 2; ++i)
        for (auto& worker : workers) deployment.send_report(worker, first);
    ASSERT_EQ(workers[3].tasks.size(), 2U);
    auto report = [&](int node, Seconds time) {
        for (Seconds t = 0; t < time && deployment.leader() == first; t += 1) {
            deployment.run(1);
            for (auto& worker : workers) deployment.send_report(worker, node);
        }
    };
    report(first, 10);
    EXPECT_EQ(deployment.leader(), first);
    report(1 - first, 15);
    ASSERT_TRUE(deployment.until([&] { return deployment.leader() == 1 - first; }, 5));
    EXPECT_TRUE(deployment.cloud.deleted.empty()) << "its machines were not given up";
}

// A process stands still for 30 s while its clocks run on. What it believed before does not count: it does
// not take its machines for silent, answers no worker on an old right, and leads only if the state service
// says so.
TEST(Failover, AfterAProcessPauseNothingCountsUntilConfirmed) {
    for (bool followed : {false, true}) {
        Deployment deployment(2);
        deployment.start(0);
        ASSERT_TRUE(deployment.until([&] { return deployment.leader() == 0; }));
        deployment.run(6);
        auto workers = deployment.settled_workers(2);
        deployment.run(3);
        // The clock jumps between two turns of the loop, wherever its routines are.
        for (int steps : {0, 1, 2, 5}) {
            for (int i = 0; i < steps; ++i) deployment.loop.turn(0);
            if (followed) {
                MsgpackWriter packer;
                packer.map(2).key("node").text("node-1").key("epoch").count(9);
                deployment.store.rows["leader"] = {packer.take(), ++deployment.store.revision, 0};
            }
            deployment.clock.advance(30);
            if (!followed) deployment.store.restart_leases();  // so that the lease is still there
            for (int i = 0; i < 3; ++i) deployment.loop.turn(0);
            if (followed) {
                deployment.run(5);
                EXPECT_EQ(deployment.leader(), -1) << steps;
                EXPECT_EQ(deployment.send_report(workers[0], 0), 421) << steps;
            }
            EXPECT_TRUE(deployment.cloud.deleted.empty()) << steps;
            if (followed) break;
            deployment.run(2.5);
            EXPECT_EQ(deployment.node(0).election().fencing_token(), 1U) << "it leads still";
            for (auto& worker : workers) deployment.settle(worker);
            deployment.run(3);
        }
        EXPECT_TRUE(deployment.cloud.deleted.empty());
    }
}

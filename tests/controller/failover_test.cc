// Failovers: what the new leader keeps running, and what the old one can no longer do.
#include <gtest/gtest.h>

#include "standins/deployment.h"

using namespace hareshore;
using namespace hareshore::test;

TEST(Failover, NewLeaderKeepsRunningTasks) {
    Deployment deployment(2);
    ASSERT_TRUE(deployment.start_and_elect());
    int first_leader = deployment.leader(), second_leader = 1 - first_leader;
    deployment.run(1);
    FakeWorker worker;
    deployment.register_worker(worker);
    uint64_t fencing_token = worker.fencing_token;
    ASSERT_EQ(deployment.call(second_leader, "POST", "/v2/runs", job_body("job-1")).status, 201)
        << "every node must serve users";
    deployment.send_heartbeat(worker, first_leader);
    deployment.send_heartbeat(worker, first_leader);
    ASSERT_TRUE(worker.find("job-1/0"));
    EXPECT_EQ(deployment.send_heartbeat(worker, second_leader), 421);
    deployment.kill(first_leader);
    ASSERT_TRUE(deployment.run_until([&] { return deployment.leader() == second_leader; }, 15));
    deployment.register_worker(worker);
    EXPECT_GT(worker.fencing_token, fencing_token);
    deployment.send_heartbeat(worker, second_leader);
    ASSERT_TRUE(worker.find("job-1/0"));
    EXPECT_EQ(worker.find("job-1/0")->attempt, 1U);
    EXPECT_EQ(worker.find("job-1/0")->phase, TaskPhase::kRunning);
}

// A heartbeat sent before a launch reaches a new leader late. Its fencing token is old, so the worker may
// have received the launch after sending it: a task that it does not list may still run.
TEST(Failover, OldHeartbeatDoesNotEndTasksAtNewLeader) {
    Deployment deployment(2);
    ASSERT_TRUE(deployment.start_and_elect());
    int first_leader = deployment.leader();
    deployment.run(3);
    FakeWorker worker;
    deployment.register_worker(worker);
    auto gang = [](auto& fields) { make_gang(fields); };
    ASSERT_EQ(deployment.call(first_leader, "POST", "/v2/runs", job_body("job-1", gang)).status, 201);
    FakeWorker old_worker = worker;
    deployment.send_heartbeat(worker, first_leader);
    deployment.send_heartbeat(worker, first_leader);
    ASSERT_TRUE(worker.find("job-1/0"));
    deployment.kill(first_leader);
    deployment.store.expire_lease(deployment.store.rows.at("leader").lease);
    ASSERT_TRUE(deployment.run_until([&] { return deployment.leader() >= 0; }));
    int second_leader = deployment.leader();
    deployment.run(1);
    old_worker.loses_responses = true;
    deployment.send_heartbeat(old_worker, second_leader);
    FakeWorker other;
    other.name = "vm-000002";
    deployment.register_worker(other);
    deployment.send_heartbeat(other, second_leader);
    EXPECT_FALSE(other.find("job-1/0")) << "the task must stay where it runs";
    EXPECT_EQ(deployment.node(second_leader).leader()->jobs().find("job-1")->live.size(), 1U);
}

// A leader's transaction is delayed until the leader has been deposed.
TEST(Failover, DeposedLeadersLateTransactionChangesNothing) {
    Deployment deployment(2);
    ASSERT_TRUE(deployment.start_and_elect());
    int first_leader = deployment.leader();
    deployment.run(1);
    FakeWorker worker;
    deployment.register_worker(worker);
    bool hold_placement = false;
    deployment.store.transaction_filter = [&](const std::string& body) {
        // The leader's only write of this job: its placement.
        return !(hold_placement && body.find("j/job-1") != std::string::npos &&
                 body.find("leader") != std::string::npos);
    };
    hold_placement = true;
    ASSERT_EQ(deployment.call(1 - first_leader, "POST", "/v2/runs", job_body("job-1")).status, 201);
    deployment.send_heartbeat(worker, first_leader);
    ASSERT_FALSE(deployment.store.held_transactions.empty()) << "no placement was written";
    EXPECT_FALSE(worker.find("job-1/0")) << "launched before the placement was committed";
    deployment.kill(first_leader);
    hold_placement = false;
    ASSERT_TRUE(deployment.run_until([&] { return deployment.leader() == 1 - first_leader; }, 15));
    std::string before = deployment.store.rows.at("j/job-1").data;
    for (const auto& body : deployment.store.held_transactions)
        EXPECT_EQ(deployment.store.apply(body).status, 409);
    EXPECT_EQ(deployment.store.rows.at("j/job-1").data, before);
    deployment.register_worker(worker);
    deployment.send_heartbeat(worker, deployment.leader());
    EXPECT_TRUE(worker.find("job-1/0")) << "the new leader must launch it";
}

// A leader that reaches the store but that no worker can reach resigns in favour of one that the workers
// reach.
TEST(Failover, LeaderUnreachableForWorkersResigns) {
    Deployment deployment(2);
    ASSERT_TRUE(deployment.start_and_elect());
    int first_leader = deployment.leader();
    auto workers = deployment.registered_workers(4);
    // Heartbeats of busy machines get an immediate response.
    ASSERT_EQ(deployment
                  .call(first_leader, "POST", "/v2/runs",
                        job_body("job-1", [](auto& fields) { set_tasks(fields, 8); }))
                  .status,
              201);
    for (int i = 0; i < 2; ++i)
        for (auto& worker : workers) deployment.send_heartbeat(worker, first_leader);
    ASSERT_EQ(workers[3].tasks.size(), 2U);
    auto send_heartbeats = [&](int node, Seconds duration) {
        for (Seconds t = 0; t < duration && deployment.leader() == first_leader; t += 1) {
            deployment.run(1);
            for (auto& worker : workers) deployment.send_heartbeat(worker, node);
        }
    };
    send_heartbeats(first_leader, 10);
    EXPECT_EQ(deployment.leader(), first_leader);
    send_heartbeats(1 - first_leader, 15);
    ASSERT_TRUE(deployment.run_until([&] { return deployment.leader() == 1 - first_leader; }, 5));
    EXPECT_TRUE(deployment.cloud.deleted.empty()) << "the resigned leader deleted machines";
}

// A process is paused for 30 s while the clocks run on. Its earlier state is stale: it must not treat its
// machines as unreachable, must not renew worker leases on the strength of its old leadership, and leads only
// if the store confirms it.
TEST(Failover, ProcessPauseRequiresConfirmationOfLeadership) {
    for (bool replaced : {false, true}) {
        Deployment deployment(2);
        deployment.start(0);
        ASSERT_TRUE(deployment.run_until([&] { return deployment.leader() == 0; }));
        deployment.run(6);
        auto workers = deployment.registered_workers(2);
        deployment.run(3);
        // The clock jumps between two turns of the loop, at different points of its routines.
        for (int steps : {0, 1, 2, 5}) {
            for (int i = 0; i < steps; ++i) deployment.loop.turn(0);
            if (replaced) {
                MsgpackWriter packer;
                packer.map(2).key("node").text("node-1").key("epoch").count(9);
                deployment.store.rows["leader"] = {packer.take(), ++deployment.store.revision, 0};
            }
            deployment.clock.advance(30);
            if (!replaced) deployment.store.renew_all_leases();  // keeps the leader's lease alive
            for (int i = 0; i < 3; ++i) deployment.loop.turn(0);
            if (replaced) {
                deployment.run(5);
                EXPECT_EQ(deployment.leader(), -1) << steps;
                EXPECT_EQ(deployment.send_heartbeat(workers[0], 0), 421) << steps;
            }
            EXPECT_TRUE(deployment.cloud.deleted.empty()) << steps;
            if (replaced) break;
            deployment.run(2.5);
            EXPECT_EQ(deployment.node(0).election().fencing_token(), 1U) << "it must still lead";
            for (auto& worker : workers) deployment.register_worker(worker);
            deployment.run(3);
        }
        EXPECT_TRUE(deployment.cloud.deleted.empty());
    }
}

// Cancellations of services while their replicas are being moved to another machine.
#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "standins/deployment.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

// The progress of the replicas' move at the time of the cancellation.
enum class Move {
    kPredecessorsStopping,  // stop sent, no heartbeat lists their exits yet
    kPredecessorsHang,      // stop sent, and their machine sends no further heartbeats
    kSuccessorsPlaced,      // exits received and successors committed, but the response of the store is lost
    kSuccessorsLaunched,    // successors run, but no heartbeat has listed them yet
    kLeaderKilled,          // as kPredecessorsStopping, and the leader is killed after the cancellation
};

class ServiceMoves : public testing::TestWithParam<Move> {};

}  // namespace

TEST_P(ServiceMoves, CancellationLaunchesNothingAndStopsAllInTime) {
    constexpr uint32_t kReplicas = 3;
    const Move move = GetParam();
    Deployment deployment(2);
    ASSERT_TRUE(deployment.start_and_elect());
    int leader = deployment.leader();
    deployment.run(1);
    FakeWorker from, to;
    from.spot = true;
    to.name = "vm-000002";
    for (const FakeWorker* worker : {&from, &to}) deployment.list_machine(*worker);
    deployment.register_worker(from);
    ASSERT_EQ(deployment
                  .call(leader, "POST", "/v2/runs",
                        job_body("job-1",
                                 [](auto& fields) {
                                     fields["shape"] = packed_text("standing");
                                     set_tasks(fields, kReplicas);
                                     fields["vcpus"] = packed_number(1);
                                     fields["cards"] = fields["snapshot_s"] = fields["flush_s"] =
                                         packed_number(0);
                                     fields["driftwood"] = packed_flag(true);
                                 }))
                  .status,
              201);
    for (int i = 0; i < 4; ++i) deployment.send_heartbeat(from, leader);
    ASSERT_EQ(from.live_tasks(), kReplicas);
    deployment.register_worker(to);
    ASSERT_EQ(to.live_tasks(), 0U);

    // The spot notice makes all replicas move at once.
    from.notice_s = 60;
    std::vector<TaskStatus> running = from.tasks;
    deployment.send_heartbeat(from, leader);
    ASSERT_EQ(from.live_tasks(), 0U) << "the response must tell the replicas to stop";
    bool exits_reported = move == Move::kSuccessorsPlaced || move == Move::kSuccessorsLaunched;
    if (exits_reported) {
        deployment.send_heartbeat(from, leader);
        deployment.run(0.5);
        if (move == Move::kSuccessorsPlaced)
            deployment.store.transaction_filter = [&](const std::string& txn) {
                if (txn.find("leader") == std::string::npos) return true;
                deployment.store.apply(txn);  // only its response is lost
                return false;
            };
        for (int i = 0; i < 3 && to.live_tasks() < kReplicas; ++i) deployment.send_heartbeat(to, leader);
        deployment.store.transaction_filter = {};
        ASSERT_EQ(to.live_tasks(), move == Move::kSuccessorsPlaced ? 0 : kReplicas);
        EXPECT_EQ(state_of(deployment.call(leader, "GET", "/v2/runs/job-1")).running, kReplicas);
    } else {
        from.tasks = running;  // the replicas have not stopped yet
    }

    int node = move == Move::kLeaderKilled ? 1 - leader : leader;
    ASSERT_EQ(state_of(deployment.call(node, "POST", "/v2/runs/job-1/withdraw")).phase, "withdrawn");
    Seconds cancelled_at = deployment.loop.now();
    if (move == Move::kLeaderKilled) {
        deployment.kill(leader);
        deployment.store.expire_lease(deployment.store.rows.at("leader").lease);
        ASSERT_TRUE(deployment.run_until([&] { return deployment.leader() == node; }));
        leader = node;
    }
    auto stopped_or_deleted = [&](const FakeWorker& worker) {
        return worker.live_tasks() == 0 ||
               std::count(deployment.cloud.deleted.begin(), deployment.cloud.deleted.end(), worker.name) > 0;
    };
    std::set<std::pair<TaskName, uint64_t>> launched_before;
    for (const FakeWorker* worker : {&from, &to})
        for (const auto& task : worker->tasks) launched_before.insert({task.name, task.attempt});
    Seconds all_stopped = -1;
    while (deployment.loop.now() < cancelled_at + deployment.configs[0].cancel_s) {
        if (move != Move::kPredecessorsHang) deployment.send_heartbeat(from, leader);
        deployment.send_heartbeat(to, leader);
        for (const FakeWorker* worker : {&from, &to})
            for (const auto& task : worker->tasks)
                EXPECT_TRUE(launched_before.contains({task.name, task.attempt}))
                    << "launched after the cancellation";
        if (stopped_or_deleted(from) && stopped_or_deleted(to) && all_stopped < 0)
            all_stopped = deployment.loop.now();
        deployment.run(1);
    }
    ASSERT_GE(all_stopped, 0) << "a replica still runs";
    EXPECT_LT(all_stopped, cancelled_at + deployment.configs[0].cancel_s);
    EXPECT_EQ(state_of(deployment.call(leader, "GET", "/v2/runs/job-1")),
              (test::JobState{"withdrawn", 0, 0}));
    EXPECT_EQ(deployment.store.rows.count("f/job-1"), 1U);
}

INSTANTIATE_TEST_SUITE_P(All, ServiceMoves,
                         testing::Values(Move::kPredecessorsStopping, Move::kPredecessorsHang,
                                         Move::kSuccessorsPlaced, Move::kSuccessorsLaunched,
                                         Move::kLeaderKilled));

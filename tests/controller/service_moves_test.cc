// Cancellations of services whose replicas are being moved to another machine.
#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "standins/deployment.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

// Where the replicas' move has got to when their user cancels.
enum class Move {
    kPredecessorsStopping,  // told to stop, exits not reported
    kPredecessorsHang,      // told to stop, and nothing is heard of their machine again
    kSuccessorsBound,       // the exits are reported and the successors kept, but nobody was told of that
    kSuccessorsLaunched,    // they run, and no report has said so
    kLeaderGone,            // as the first, and the leader ends with the cancellation
};

class ServiceMoves : public testing::TestWithParam<Move> {};

}  // namespace

TEST_P(ServiceMoves, ACancellationStartsNothingAndEndsAllInTime) {
    constexpr uint32_t kReplicas = 3;
    const Move move = GetParam();
    Deployment deployment(2);
    ASSERT_TRUE(deployment.start_and_elect());
    int lead = deployment.leader();
    deployment.run(1);
    FakeWorker from, to;
    from.spot = true;
    to.name = "vm-000002";
    for (const FakeWorker* worker : {&from, &to}) deployment.list_machine(*worker);
    deployment.settle(from);
    ASSERT_EQ(deployment
                  .call(lead, "POST", "/v2/runs",
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
    for (int i = 0; i < 4; ++i) deployment.send_report(from, lead);
    ASSERT_EQ(from.live_tasks(), kReplicas);
    deployment.settle(to);
    ASSERT_EQ(to.live_tasks(), 0U);

    // The notice moves all of them at once.
    from.notice_s = 60;
    std::vector<TaskStatus> running = from.tasks;
    deployment.send_report(from, lead);
    ASSERT_EQ(from.live_tasks(), 0U) << "told to stop in the answer";
    bool exits_known = move == Move::kSuccessorsBound || move == Move::kSuccessorsLaunched;
    if (exits_known) {
        deployment.send_report(from, lead);
        deployment.run(0.5);
        if (move == Move::kSuccessorsBound)
            deployment.store.let_through = [&](const std::string& txn) {
                if (txn.find("leader") == std::string::npos) return true;
                deployment.store.apply(txn);  // only its answer is lost
                return false;
            };
        for (int i = 0; i < 3 && to.live_tasks() < kReplicas; ++i) deployment.send_report(to, lead);
        deployment.store.let_through = {};
        ASSERT_EQ(to.live_tasks(), move == Move::kSuccessorsBound ? 0 : kReplicas);
        EXPECT_EQ(state_of(deployment.call(lead, "GET", "/v2/runs/job-1")).running, kReplicas);
    } else {
        from.tasks = running;  // they take their time
    }

    int asked = move == Move::kLeaderGone ? 1 - lead : lead;
    ASSERT_EQ(state_of(deployment.call(asked, "POST", "/v2/runs/job-1/withdraw")).phase, "withdrawn");
    Seconds announced = deployment.loop.now();
    if (move == Move::kLeaderGone) {
        deployment.kill(lead);
        deployment.store.expire_lease(deployment.store.rows.at("leader").lease);
        ASSERT_TRUE(deployment.until([&] { return deployment.leader() == asked; }));
        lead = asked;
    }
    auto gone = [&](const FakeWorker& worker) {
        return worker.live_tasks() == 0 ||
               std::count(deployment.cloud.deleted.begin(), deployment.cloud.deleted.end(), worker.name) > 0;
    };
    std::set<std::pair<TaskName, uint64_t>> before;
    for (const FakeWorker* worker : {&from, &to})
        for (const auto& task : worker->tasks) before.insert({task.name, task.attempt});
    Seconds all_gone = -1;
    while (deployment.loop.now() < announced + deployment.configs[0].cancel_s) {
        if (move != Move::kPredecessorsHang) deployment.send_report(from, lead);
        deployment.send_report(to, lead);
        for (const FakeWorker* worker : {&from, &to})
            for (const auto& task : worker->tasks)
                EXPECT_TRUE(before.contains({task.name, task.attempt})) << "started after the cancellation";
        if (gone(from) && gone(to) && all_gone < 0) all_gone = deployment.loop.now();
        deployment.run(1);
    }
    ASSERT_GE(all_gone, 0) << "something is still there";
    EXPECT_LT(all_gone, announced + deployment.configs[0].cancel_s);
    EXPECT_EQ(state_of(deployment.call(lead, "GET", "/v2/runs/job-1")), (test::JobState{"withdrawn", 0, 0}));
    EXPECT_EQ(deployment.store.rows.count("f/job-1"), 1U);
}

INSTANTIATE_TEST_SUITE_P(All, ServiceMoves,
                         testing::Values(Move::kPredecessorsStopping, Move::kPredecessorsHang,
                                         Move::kSuccessorsBound, Move::kSuccessorsLaunched,
                                         Move::kLeaderGone));

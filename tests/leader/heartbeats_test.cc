// Heartbeats from many workers, and from workers that cannot reach the leader.
#include <gtest/gtest.h>
#include <sys/resource.h>

#include "base/constants.h"
#include "standins/deployment.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

// Two controllers, and a worker that the one that does not lead has redirected to the leader. If the worker
// returns, it cannot reach the leader, and the controller relays its heartbeats.
struct RelayedHeartbeats : testing::Test {
    void SetUp() override {
        ASSERT_TRUE(deployment.start_and_elect());
        other = 1 - deployment.leader();
        deployment.run(3);
        EXPECT_EQ(deployment.send_heartbeat(worker, other), 421);
        deployment.run(5);
    }

    Deployment deployment{2};
    FakeWorker worker;
    int other = kNoLeader;
};

}  // namespace

TEST_F(RelayedHeartbeats, ReachTheLeader) {
    EXPECT_EQ(deployment.send_heartbeat(worker, other), 200);
    EXPECT_EQ(worker.fencing_token, deployment.node(deployment.leader()).election().fencing_token());
}

// Guards against healthy machines that are deleted because their heartbeats are refused: heartbeats and
// responses may be as large as the protocol allows, also between controllers.
TEST_F(RelayedHeartbeats, MayBeOfTheLargestSize) {
    constexpr uint32_t kTasksPerStep = 20;
    constexpr size_t kStepBytes = 2048;
    while (worker.next_heartbeat().size() + kStepBytes < constants::kBodyLimit)
        for (uint32_t i = 0; i < kTasksPerStep; ++i) {
            auto task = static_cast<uint32_t>(worker.tasks.size());
            worker.tasks.push_back({{"job-7", task}, 1, TaskPhase::kExited, ExitCause::kDone, false});
        }
    const size_t listed = worker.tasks.size();
    EXPECT_GT(listed, 512U);
    EXPECT_EQ(deployment.send_heartbeat(worker, other), 200);
    const size_t forgotten = listed - worker.tasks.size();
    EXPECT_GE(forgotten, 500U) << "the response has a forget command for as many tasks as fit";
    for (int i = 0; i < 3 && !worker.tasks.empty(); ++i) {
        deployment.run(1);
        EXPECT_EQ(deployment.send_heartbeat(worker, other), 200);
    }
    EXPECT_TRUE(worker.tasks.empty());
}

// After a failover all workers send heartbeats at once. Heartbeats that arrive together must share scheduling
// passes, so that the work grows with the number of heartbeats, not with heartbeats times machines.
TEST(WorkerHeartbeats, SimultaneousHeartbeatsShareSchedulingPasses) {
    Deployment deployment;
    // Each worker uses two file descriptors of this process.
    rlimit files{};
    getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = files.rlim_max;
    setrlimit(RLIMIT_NOFILE, &files);
    ASSERT_GE(files.rlim_cur, 2500U);
    deployment.configs[0].sockets = 2000;
    deployment.start(0);
    ASSERT_TRUE(deployment.run_until([&] { return deployment.leader() == 0; }));
    deployment.run(1);
    ASSERT_EQ(
        deployment.call(0, "POST", "/v2/runs", job_body("job-1", [](auto& fields) { set_tasks(fields, 8); }))
            .status,
        201);
    std::vector<FakeWorker> workers(1000);
    int answered = 0;
    TaskGroup scope(deployment.loop);
    auto send_heartbeat = [](Loop& loop, Address leader, FakeWorker& worker, int& ok_count) -> Task<void> {
        ok_count += co_await worker.send_heartbeat(loop, leader) == 200;
    };
    for (size_t i = 0; i < workers.size(); ++i) {
        workers[i].name = "vm-" + std::to_string(10000 + i);
        scope.spawn(send_heartbeat(deployment.loop, deployment.configs[0].listen, workers[i], answered),
                    "hello");
    }
    uint64_t passes_before = deployment.node(0).leader()->passes_done();
    Seconds started_at = deployment.loop.now();
    ASSERT_TRUE(deployment.run_until([&] { return answered == 1000; }, 10));
    uint64_t passes = deployment.node(0).leader()->passes_done() - passes_before;
    EXPECT_LE(static_cast<double>(passes),
              2 + (deployment.loop.now() - started_at) / constants::kSchedulingInterval_s);
    EXPECT_LT(passes, 50U) << "there must be far fewer passes than heartbeats";
    EXPECT_EQ(deployment.node(0).leader()->machines_seen(), 1000U);
}

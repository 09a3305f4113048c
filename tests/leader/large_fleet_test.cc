// A fleet of 4,000 machines on the fake clock: registration, steady heartbeats, and a failover after which
// all machines send heartbeats at once. The cost of a heartbeat must not grow with the fleet, nor the cost of
// a pass with the number of heartbeats that it serves. The tests check counts, since durations on a shared
// machine are not reproducible.
//
// They guard against a fixed limit below the size of the largest fleet, and against work per heartbeat that
// scans all machines.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include "standins/deployment.h"
#include "workers/worker_wire.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

constexpr size_t kMachines = 4000;
constexpr size_t kJobs = 250;
constexpr uint32_t kTasksPerJob = 32;       // all jobs together use all GPUs of the fleet
constexpr Seconds kFailoverTimeout_s = 10;  // on the fake clock, for two rounds of heartbeats

struct LargeFleet : testing::Test {
    Deployment deployment{2};
    std::vector<FakeWorker> workers{kMachines};

    LargeFleet() {
        for (Config& config : deployment.configs) {
            config.sockets = 2 * kMachines;
            config.teams[0].gpus_max = 0;
            config.store_rps = 2000;
            config.write_rps = 1000;
            config.cloud_rps = 24;
        }
        for (size_t i = 0; i < kMachines; ++i) {
            FakeWorker& worker = workers[i];
            worker.name = fmt::format("vm-{:06}", i + 1);
            worker.zone = deployment.configs[0].zones[i % 2];
            ListedMachine listed;
            listed.name = worker.name;
            listed.addr = worker.addr;
            listed.machine_type = worker.machine_type;
            listed.zone = worker.zone;
            deployment.cloud.machines[worker.name] = listed;
        }
    }

    std::shared_ptr<Leader> leader() {
        int node = deployment.leader();
        return node < 0 ? nullptr : deployment.node(node).leader();
    }

    static Task<void> send_heartbeat(std::shared_ptr<Leader> target, FakeWorker& worker, size_t& answered) {
        auto heartbeat = decode_heartbeat(worker.next_heartbeat());
        Response response = co_await target->handle_heartbeat(
            std::move(*heartbeat), constants::kIdleHeartbeatHold_s, HeartbeatRoute::kDirect);
        if (response.status != 200) co_return;
        worker.execute_commands(response.body);
        ++answered;
    }

    // Sends a heartbeat from every machine at once. Returns how many responses had status 200.
    size_t send_all_heartbeats() {
        size_t answered = 0;
        TaskGroup scope(deployment.loop);
        for (FakeWorker& worker : workers)
            scope.spawn(send_heartbeat(leader(), worker, answered), "heartbeat");
        deployment.run_until([&] { return scope.size() == 0; }, 5);
        return answered;
    }

    size_t tasks_on_machines() const {
        size_t count = 0;
        for (const FakeWorker& worker : workers) count += worker.tasks.size();
        return count;
    }

    void submit_jobs() {
        for (size_t i = 0; i < kJobs; ++i) {
            auto body = job_body(fmt::format("job-{:06}", i), [](JobFields& fields) {
                MsgpackWriter tasks;
                fields["pieces"] = tasks.count(kTasksPerJob).take();
            });
            ASSERT_EQ(deployment.call(0, "POST", "/v2/runs", body).status, 201);
        }
    }
};

}  // namespace

TEST_F(LargeFleet, SchedulesAllTasksAndSurvivesFailover) {
    deployment.start(0);
    ASSERT_TRUE(deployment.run_until([&] { return leader() && leader()->loaded_for() > 0; }));
    deployment.start(1);
    EXPECT_EQ(send_all_heartbeats(), kMachines);
    EXPECT_EQ(leader()->machines_seen(), kMachines);
    ASSERT_TRUE(
        deployment.run_until([&] { return leader()->cluster().machines.at("vm-004000")->listed; }, 20));
    submit_jobs();
    for (int round = 0; round < 5 && tasks_on_machines() < kJobs * kTasksPerJob; ++round)
        send_all_heartbeats();
    ASSERT_EQ(tasks_on_machines(), kJobs * kTasksPerJob);
    send_all_heartbeats();  // lists all tasks as running

    // Unchanged heartbeats of full machines request no passes; only the periodic passes remain.
    Seconds started_at = deployment.loop.now();
    uint64_t passes_before = leader()->passes_done();
    EXPECT_EQ(send_all_heartbeats(), kMachines);
    EXPECT_LE(leader()->passes_done() - passes_before,
              2 + (deployment.loop.now() - started_at) / constants::kScalingInterval_s);

    // After a failover the simultaneous heartbeats share a few passes, and no task is started again.
    deployment.kill(0);
    ASSERT_TRUE(deployment.run_until(
        [&] { return deployment.leader() == 1 && leader() && leader()->loaded_for() > 0; }));
    started_at = deployment.loop.now();
    EXPECT_EQ(send_all_heartbeats(), kMachines);
    EXPECT_EQ(send_all_heartbeats(), kMachines) << "with the new leader's fencing token";
    EXPECT_LE(leader()->passes_done(), 20U);
    EXPECT_LT(deployment.loop.now() - started_at, kFailoverTimeout_s);
    EXPECT_EQ(tasks_on_machines(), kJobs * kTasksPerJob);
    for (const FakeWorker& worker : workers)
        for (const TaskStatus& task : worker.tasks) ASSERT_EQ(task.phase, TaskPhase::kRunning);
    EXPECT_TRUE(deployment.cloud.deleted.empty());
}

namespace {

Task<void> send_and_disconnect(Loop& loop, Address server, std::string body, bool& sent) {
    auto stream = co_await connect_to(loop, server, loop.now() + 1);
    std::string head = "POST /hello HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    if (stream) co_await stream->write(head + body, loop.now() + 1);
    sent = stream != nullptr;
}

}  // namespace

// A controller whose backlog exceeds the workers' request timeout receives only heartbeats that their workers
// have abandoned. Handling those costs as much as handling others, so the controller would never catch up.
TEST(Overload, AbandonedHeartbeatIsIgnored) {
    Deployment deployment;
    deployment.start(0);
    ASSERT_TRUE(
        deployment.run_until([&] { return deployment.leader() == 0 && deployment.node(0).leader(); }));
    deployment.run(1);
    FakeWorker worker;
    TaskGroup scope(deployment.loop);
    bool sent = false;
    // The server starts its coroutine for the connection only after the client has sent the request and
    // disconnected.
    scope.spawn(
        send_and_disconnect(deployment.loop, deployment.configs[0].listen, worker.next_heartbeat(), sent),
        "worker");
    ASSERT_TRUE(deployment.run_until([&] { return sent; }));
    deployment.run(2);
    EXPECT_EQ(deployment.node(0).leader()->machines_seen(), 0U);
    deployment.register_worker(worker);
    EXPECT_EQ(deployment.node(0).leader()->machines_seen(), 1U);
}

// A fleet of 4,000 machines on the fake clock: registration, steady reports, a take-over at which all
// machines report at once. Checked by counts, since time on a shared machine says nothing: what a report
// costs must not grow with the fleet, nor a pass with the reports that it serves.
//
// What is guarded against: a fixed limit below the largest fleet, and work for each report that looks at all
// machines.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include "standins/deployment.h"
#include "workers/worker_wire.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

constexpr size_t kMachines = 4000;
constexpr size_t kJobs = 250;
constexpr uint32_t kTasksPerJob = 32;  // together as many as the fleet has GPUs
constexpr Seconds kTakeOver_s = 10;    // of the fake clock: election, records, two rounds of reports

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

    static Task<void> report_once(std::shared_ptr<Leader> to, FakeWorker& worker, size_t& answered) {
        auto report = decode_heartbeat(worker.report());
        Response answer = co_await to->handle_heartbeat(std::move(*report), constants::kIdleHeartbeatHold_s,
                                                        HeartbeatRoute::kDirect);
        if (answer.status != 200) co_return;
        worker.carry_out(answer.body);
        ++answered;
    }

    // All machines report at once; how many were answered 200.
    size_t all_report() {
        size_t answered = 0;
        TaskGroup scope(deployment.loop);
        for (FakeWorker& worker : workers) scope.spawn(report_once(leader(), worker, answered), "report");
        deployment.until([&] { return scope.size() == 0; }, 5);
        return answered;
    }

    size_t tasks_on_machines() const {
        size_t n = 0;
        for (const FakeWorker& worker : workers) n += worker.tasks.size();
        return n;
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

TEST_F(LargeFleet, IsFilledKeptAndTakenOver) {
    deployment.start(0);
    ASSERT_TRUE(deployment.until([&] { return leader() && leader()->loaded_for() > 0; }));
    deployment.start(1);
    EXPECT_EQ(all_report(), kMachines);
    EXPECT_EQ(leader()->machines_seen(), kMachines);
    ASSERT_TRUE(deployment.until([&] { return leader()->cluster().machines.at("vm-004000")->listed; }, 20));
    submit_jobs();
    for (int round = 0; round < 5 && tasks_on_machines() < kJobs * kTasksPerJob; ++round) all_report();
    ASSERT_EQ(tasks_on_machines(), kJobs * kTasksPerJob);
    all_report();  // all is known to run

    // Full machines without news ask for nothing: only the passes of the clock are left.
    Seconds began = deployment.loop.now();
    uint64_t passes = leader()->passes_done();
    EXPECT_EQ(all_report(), kMachines);
    EXPECT_LE(leader()->passes_done() - passes,
              2 + (deployment.loop.now() - began) / constants::kScalingInterval_s);

    // All reports that come to a new leader at once share a few passes, and nothing is started again.
    deployment.kill(0);
    ASSERT_TRUE(
        deployment.until([&] { return deployment.leader() == 1 && leader() && leader()->loaded_for() > 0; }));
    began = deployment.loop.now();
    EXPECT_EQ(all_report(), kMachines);
    EXPECT_EQ(all_report(), kMachines) << "with this epoch known";
    EXPECT_LE(leader()->passes_done(), 20U);
    EXPECT_LT(deployment.loop.now() - began, kTakeOver_s);
    EXPECT_EQ(tasks_on_machines(), kJobs * kTasksPerJob);
    for (const FakeWorker& worker : workers)
        for (const TaskStatus& task : worker.tasks) ASSERT_EQ(task.phase, TaskPhase::kRunning);
    EXPECT_TRUE(deployment.cloud.deleted.empty());
}

namespace {

Task<void> send_and_leave(Loop& loop, Address to, std::string body, bool& sent) {
    auto stream = co_await connect_to(loop, to, loop.now() + 1);
    std::string head = "POST /hello HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    if (stream) co_await stream->write(head + body, loop.now() + 1);
    sent = stream != nullptr;
}

}  // namespace

// A controller that falls behind by more than a worker waits finds only reports that were given up. Taking
// them in costs as much as those that are answered, so that it would stay behind for ever.
TEST(Overload, AReportThatItsWorkerHasGivenUpIsNotTakenIn) {
    Deployment deployment;
    deployment.start(0);
    ASSERT_TRUE(deployment.until([&] { return deployment.leader() == 0 && deployment.node(0).leader(); }));
    deployment.run(1);
    FakeWorker worker;
    TaskGroup scope(deployment.loop);
    bool sent = false;
    // The server's routine for the connection is started after both ends have done their part.
    scope.spawn(send_and_leave(deployment.loop, deployment.configs[0].listen, worker.report(), sent),
                "worker");
    ASSERT_TRUE(deployment.until([&] { return sent; }));
    deployment.run(2);
    EXPECT_EQ(deployment.node(0).leader()->machines_seen(), 0U);
    deployment.settle(worker);
    EXPECT_EQ(deployment.node(0).leader()->machines_seen(), 1U);
}

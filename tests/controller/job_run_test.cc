// Jobs from submission to completion, through a whole controller.
#include <gtest/gtest.h>

#include "standins/deployment.h"

using namespace hareshore;
using namespace hareshore::test;

TEST(JobRun, CompletesSubmittedJob) {
    Deployment deployment;
    ASSERT_TRUE(deployment.start_and_elect());
    deployment.run(1);
    EXPECT_EQ(deployment.call(0, "GET", "/ready").status, 200);
    EXPECT_EQ(deployment.call(0, "GET", "/v2/runs/job-1").status, 404);
    EXPECT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-1")).status, 201);
    EXPECT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-1")).status, 200)
        << "a retried submission must not create a second job";
    FakeWorker worker;
    deployment.register_worker(worker);
    deployment.send_heartbeat(worker, 0);
    ASSERT_TRUE(worker.find("job-1/0"));
    deployment.send_heartbeat(worker, 0);
    EXPECT_EQ(phase_of(deployment.call(0, "GET", "/v2/runs/job-1")), "running");
    exit_task(*worker.find("job-1/0"), ExitCause::kDone);
    deployment.send_heartbeat(worker, 0);
    deployment.run(0.5);
    EXPECT_EQ(phase_of(deployment.call(0, "GET", "/v2/runs/job-1")), "done");
    EXPECT_EQ(phase_of(deployment.call(0, "POST", "/v2/runs/job-1/withdraw")), "done");
    EXPECT_EQ(phase_of(deployment.call(0, "POST", "/v2/runs", job_body("job-1"))), "done");
    deployment.send_heartbeat(worker, 0);
    EXPECT_TRUE(worker.tasks.empty()) << "an exit must be forgotten once it is committed";
}

// The user cancels while the machine's heartbeat lists the last task as done: one of the two final phases is
// committed and never changes.
TEST(JobRun, CancellationDuringCompletionHasOneFinalPhase) {
    for (bool cancel_first : {true, false}) {
        Deployment deployment;
        ASSERT_TRUE(deployment.start_and_elect());
        deployment.run(1);
        FakeWorker worker;
        deployment.register_worker(worker);
        ASSERT_TRUE(deployment.launch(worker, 0, "job-1"));
        exit_task(*worker.find("job-1/0"), ExitCause::kDone);
        // The leader's transaction is held back and applied late.
        bool hold_transaction = cancel_first;
        deployment.store.transaction_filter = [&](const std::string& body) {
            return !(hold_transaction && body.find("leader") != std::string::npos);
        };
        deployment.send_heartbeat(worker, 0);
        std::string confirmed = phase_of(deployment.call(0, "POST", "/v2/runs/job-1/withdraw"));
        EXPECT_EQ(confirmed, cancel_first ? "withdrawn" : "done");
        hold_transaction = false;
        for (const auto& body : deployment.store.held_transactions) deployment.store.apply(body);
        for (int i = 0; i < 5; ++i) {
            deployment.run(1);
            EXPECT_EQ(phase_of(deployment.call(0, "GET", "/v2/runs/job-1")), confirmed);
        }
        EXPECT_TRUE(deployment.store.rows.contains("f/job-1"));
        EXPECT_FALSE(deployment.store.rows.contains("j/job-1"));
    }
}

// A stop command may be lost, and a machine that sends no heartbeats gets nothing else.
TEST(JobRun, RepeatsStopCommandsForCancelledTasks) {
    Deployment deployment;
    int commands = 0;
    Address listen = address(60, 9000);
    HttpServer machine(deployment.loop, listen, 20, [&](Request) -> Task<Response> {
        ++commands;
        co_return Response{500, "", 0, ""};
    });
    deployment.start(0);
    ASSERT_TRUE(deployment.run_until([&] { return deployment.leader() == 0; }));
    deployment.run(1);
    FakeWorker worker;
    worker.addr = text_of(listen);
    deployment.register_worker(worker);
    ASSERT_TRUE(deployment.launch(worker, 0, "job-1"));
    ASSERT_EQ(phase_of(deployment.call(0, "POST", "/v2/runs/job-1/withdraw")), "withdrawn");
    deployment.run(11);
    EXPECT_GE(commands, 3);
    machine.stop();
    unwind(deployment.loop);
}

// A job from its submission to its end, through a whole controller.
#include <gtest/gtest.h>

#include "standins/deployment.h"

using namespace hareshore;
using namespace hareshore::test;

TEST(JobRun, RunsAJobFromSubmissionToDone) {
    Deployment deployment;
    ASSERT_TRUE(deployment.start_and_elect());
    deployment.run(1);
    EXPECT_EQ(deployment.call(0, "GET", "/ready").status, 200);
    EXPECT_EQ(deployment.call(0, "GET", "/v2/runs/job-1").status, 404);
    EXPECT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-1")).status, 201);
    EXPECT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-1")).status, 200)
        << "a retry makes no second job";
    FakeWorker worker;
    deployment.settle(worker);
    deployment.send_report(worker, 0);
    ASSERT_TRUE(worker.find("job-1/0"));
    deployment.send_report(worker, 0);
    EXPECT_EQ(phase_of(deployment.call(0, "GET", "/v2/runs/job-1")), "running");
    exit_task(*worker.find("job-1/0"), ExitCause::kDone);
    deployment.send_report(worker, 0);
    deployment.run(0.5);
    EXPECT_EQ(phase_of(deployment.call(0, "GET", "/v2/runs/job-1")), "done");
    EXPECT_EQ(phase_of(deployment.call(0, "POST", "/v2/runs/job-1/withdraw")), "done");
    EXPECT_EQ(phase_of(deployment.call(0, "POST", "/v2/runs", job_body("job-1"))), "done");
    deployment.send_report(worker, 0);
    EXPECT_TRUE(worker.tasks.empty()) << "forgotten once committed";
}

// The user cancels while the machine reports the last task done: one of the two wins, and it stays so.
TEST(JobRun, ACancellationRacingTheEndGetsOneLastingAnswer) {
    for (bool cancel_first : {true, false}) {
        Deployment deployment;
        ASSERT_TRUE(deployment.start_and_elect());
        deployment.run(1);
        FakeWorker worker;
        deployment.settle(worker);
        ASSERT_TRUE(deployment.launch(worker, 0, "job-1"));
        exit_task(*worker.find("job-1/0"), ExitCause::kDone);
        // The leader's transaction is lost on its way, and carried out late.
        bool lose = cancel_first;
        deployment.store.let_through = [&](const std::string& body) {
            return !(lose && body.find("leader") != std::string::npos);
        };
        deployment.send_report(worker, 0);
        std::string announced = phase_of(deployment.call(0, "POST", "/v2/runs/job-1/withdraw"));
        EXPECT_EQ(announced, cancel_first ? "withdrawn" : "done");
        lose = false;
        for (const auto& body : deployment.store.held_transactions) deployment.store.apply(body);
        for (int i = 0; i < 5; ++i) {
            deployment.run(1);
            EXPECT_EQ(phase_of(deployment.call(0, "GET", "/v2/runs/job-1")), announced);
        }
        EXPECT_TRUE(deployment.store.rows.contains("f/job-1"));
        EXPECT_FALSE(deployment.store.rows.contains("j/job-1"));
    }
}

// A command may be lost, and a machine that does not report hears nothing else.
TEST(JobRun, RepeatsTheStopOfCancelledWork) {
    Deployment deployment;
    int commands = 0;
    Address at = address(60, 9000);
    HttpServer machine(deployment.loop, at, 20, [&](Request) -> Task<Response> {
        ++commands;
        co_return Response{500, "", 0, ""};
    });
    deployment.start(0);
    ASSERT_TRUE(deployment.until([&] { return deployment.leader() == 0; }));
    deployment.run(1);
    FakeWorker worker;
    worker.addr = text_of(at);
    deployment.settle(worker);
    ASSERT_TRUE(deployment.launch(worker, 0, "job-1"));
    ASSERT_EQ(phase_of(deployment.call(0, "POST", "/v2/runs/job-1/withdraw")), "withdrawn");
    deployment.run(11);
    EXPECT_GE(commands, 3);
    machine.stop();
    unwind(deployment.loop);
}

// Services as their users see them, through whole controllers.
#include <gtest/gtest.h>

#include "base/constants.h"
#include "standins/deployment.h"

using namespace hareshore;
using namespace hareshore::test;

// What its user sees, from the submission to the cancellation, also through another node.
TEST(ServiceUsers, SeeItRunUntilTheyCancelIt) {
    Deployment deployment(2);
    ASSERT_TRUE(deployment.start_and_elect());
    int lead = deployment.leader(), other = 1 - lead;
    deployment.run(1);
    EXPECT_EQ(deployment.call(other, "POST", "/v2/runs", service_body("job-1", 1)).status, 201);
    EXPECT_EQ(phase_of(deployment.call(other, "GET", "/v2/runs/job-1")), "pending");
    FakeWorker worker;
    deployment.settle(worker);
    for (ExitCause cause : {ExitCause::kDone, ExitCause::kDone, ExitCause::kDone}) {
        deployment.send_report(worker, lead);
        deployment.send_report(worker, lead);
        ASSERT_TRUE(worker.find("job-1/0"));
        EXPECT_EQ(phase_of(deployment.call(other, "GET", "/v2/runs/job-1")), "running");
        for (int i = 0; i < 8; ++i) {
            deployment.run(3);
            deployment.send_report(worker, lead);
        }
        ASSERT_TRUE(worker.find("job-1/0"));
        exit_task(*worker.find("job-1/0"), cause);
        deployment.send_report(worker, lead);
        deployment.run(0.5);
        std::string now = phase_of(deployment.call(other, "GET", "/v2/runs/job-1"));
        EXPECT_TRUE(now == "pending" || now == "running") << now;
        EXPECT_EQ(deployment.call(other, "POST", "/v2/runs", service_body("job-1", 1)).status, 200);
    }
    deployment.send_report(worker, lead);
    ASSERT_TRUE(worker.find("job-1/0"));
    std::string page = deployment.call(lead, "GET", "/operator/jobs").body;
    EXPECT_NE(page.find("job-1 service team team 1 of 1 replicas up"), std::string::npos) << page;
    EXPECT_EQ(phase_of(deployment.call(other, "POST", "/v2/runs/job-1/withdraw")), "withdrawn");
    deployment.run(0.5);
    deployment.send_report(worker, lead);
    deployment.send_report(worker, lead);
    deployment.run(0.5);
    EXPECT_EQ(phase_of(deployment.call(lead, "GET", "/v2/runs/job-1")), "withdrawn");
    EXPECT_EQ(deployment.store.rows.count("j/job-1"), 0U);
    EXPECT_EQ(phase_of(deployment.call(other, "POST", "/v2/runs/job-1/withdraw")), "withdrawn");
}

// With a spot notice its replicas end at once, so that their successors start while the machine is still
// there; and the successor only when the exit is reported.
TEST(ServiceUsers, KeepItWhenAMachineIsAboutToGo) {
    Deployment deployment;
    ASSERT_TRUE(deployment.start_and_elect());
    deployment.run(1);
    FakeWorker first, second;
    second.name = "vm-000002";
    deployment.settle(first);
    ASSERT_EQ(deployment.call(0, "POST", "/v2/runs", service_body("job-1", 1)).status, 201);
    deployment.send_report(first, 0);
    deployment.send_report(first, 0);
    ASSERT_TRUE(first.find("job-1/0"));
    deployment.settle(second);
    first.notice_s = 20;
    deployment.send_report(first, 0);
    ASSERT_TRUE(first.find("job-1/0"));
    EXPECT_EQ(first.find("job-1/0")->phase, TaskPhase::kExited) << "told to stop in the answer to the notice";
    deployment.send_report(second, 0);
    EXPECT_FALSE(second.find("job-1/0")) << "its exit is not reported yet";
    deployment.send_report(first, 0);
    deployment.send_report(second, 0);
    ASSERT_TRUE(second.find("job-1/0"));
    EXPECT_EQ(second.find("job-1/0")->attempt, 2U);
    deployment.send_report(first, 0);
    EXPECT_TRUE(first.tasks.empty()) << "and nothing comes back to the machine that goes";
}

// While there are services, a busy machine's report is held briefly: a replica that comes is launched at
// once. With something to tell, it is answered at once.
TEST(ServiceUsers, NeedNotWaitForTheNextHeartbeatOfABusyMachine) {
    Deployment deployment;
    ASSERT_TRUE(deployment.start_and_elect());
    deployment.run(1);
    FakeWorker worker;
    deployment.settle(worker);
    ASSERT_TRUE(deployment.launch(worker, 0, "job-1"));
    auto took = [&] {
        Seconds began = deployment.loop.now();
        EXPECT_EQ(deployment.send_report(worker, 0), 200);
        return deployment.loop.now() - began;
    };
    EXPECT_LT(took(), 0.3) << "without services its next change must come through";
    ASSERT_EQ(deployment.call(0, "POST", "/v2/runs", service_body("job-2", 1)).status, 201);
    EXPECT_LT(took(), 0.3) << "there is something to launch";
    EXPECT_TRUE(worker.find("job-2/0"));
    Seconds held = took();
    EXPECT_GT(held, 0.8 * constants::kBusyHeartbeatHold_s);
    EXPECT_LT(held, constants::kBusyHeartbeatHold_s + 0.3);
    // One that comes meanwhile goes into the answer.
    TaskGroup scope(deployment.loop);
    bool done = false;
    auto later = [](Deployment& owner, CallResult& out, bool& d) -> Task<void> {
        co_await owner.loop.sleep(0.3);
        HttpClient http(owner.loop, owner.configs[0].listen, 1);
        out = co_await http.call("POST", "/v2/runs", service_body("job-3", 1), 4.0);
        d = true;
    };
    CallResult out;
    scope.spawn(later(deployment, out, done), "submission");
    EXPECT_LT(took(), 0.6);
    EXPECT_TRUE(worker.find("job-3/0"));
    EXPECT_TRUE(deployment.until([&] { return done; }));
    // What has ended is forgotten without delay.
    exit_task(*worker.find("job-1/0"), ExitCause::kDone);
    EXPECT_LT(took(), 0.3);
}

// A poll counts replicas that are on machines and none that is done; a repeated submission gets the state at
// that time.
TEST(ServiceUsers, CountReplicasAndRepeatTheStateToWhomeverAsksAgain) {
    Deployment deployment(2);
    ASSERT_TRUE(deployment.start_and_elect());
    int lead = deployment.leader(), other = 1 - lead;
    deployment.run(1);
    const std::string body = service_body("job-1", 3, 8);
    ASSERT_EQ(deployment.call(other, "POST", "/v2/runs", body).status, 201);
    auto poll = [&] { return state_of(deployment.call(other, "GET", "/v2/runs/job-1")); };
    auto repeated = [&] {
        CallResult answer = deployment.call(other, "POST", "/v2/runs", body);
        EXPECT_EQ(answer.status, 200);
        return state_of(answer).phase;
    };
    EXPECT_EQ(poll(), (test::JobState{"pending", 0, 0}));
    EXPECT_EQ(repeated(), "pending");
    std::vector<FakeWorker> workers(2);
    workers[1].name = "vm-000002";
    for (const FakeWorker& worker : workers) deployment.list_machine(worker);
    auto report = [&](FakeWorker& worker) {
        for (int i = 0; i < 2; ++i) deployment.send_report(worker, lead);
        deployment.run(0.5);
    };
    deployment.settle(workers[0]);
    report(workers[0]);
    ASSERT_EQ(workers[0].live_tasks(), 2U) << "no more fit";
    EXPECT_EQ(poll(), (test::JobState{"running", 0, 2}));
    deployment.settle(workers[1]);
    report(workers[1]);
    EXPECT_EQ(poll(), (test::JobState{"running", 0, 3}));
    // All exit as if they were done.
    Seconds steady = deployment.loop.now() + constants::kReplicaStableRun_s;
    while (deployment.loop.now() < steady)
        for (auto& worker : workers) report(worker);
    for (auto& worker : workers) {
        report(worker);
        for (auto& task : worker.tasks) {
            exit_task(task, ExitCause::kDone);
        }
    }
    for (int i = 0; i < 2; ++i)
        for (auto& worker : workers) report(worker);
    EXPECT_EQ(poll(), (test::JobState{"running", 0, 3})) << "started again, and none is done";
    EXPECT_EQ(repeated(), "running");
    EXPECT_EQ(state_of(deployment.call(other, "POST", "/v2/runs/job-1/withdraw")).phase, "withdrawn");
    EXPECT_EQ(repeated(), "withdrawn");
    for (int i = 0; i < 2; ++i)
        for (auto& worker : workers) report(worker);
    deployment.run(1);
    EXPECT_EQ(deployment.store.rows.count("f/job-1"), 1U);
    EXPECT_EQ(repeated(), "withdrawn");
    EXPECT_EQ(poll(), (test::JobState{"withdrawn", 0, 0}));
}

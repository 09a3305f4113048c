// Services as their users see them, through whole controllers.
#include <gtest/gtest.h>

#include "base/constants.h"
#include "standins/deployment.h"

using namespace hareshore;
using namespace hareshore::test;

// The phases that users see from submission to cancellation, through a follower.
TEST(ServiceUsers, SeeServiceRunUntilCancellation) {
    Deployment deployment(2);
    ASSERT_TRUE(deployment.start_and_elect());
    int leader = deployment.leader(), other = 1 - leader;
    deployment.run(1);
    EXPECT_EQ(deployment.call(other, "POST", "/v2/runs", service_body("job-1", 1)).status, 201);
    EXPECT_EQ(phase_of(deployment.call(other, "GET", "/v2/runs/job-1")), "pending");
    FakeWorker worker;
    deployment.register_worker(worker);
    for (ExitCause cause : {ExitCause::kDone, ExitCause::kDone, ExitCause::kDone}) {
        deployment.send_heartbeat(worker, leader);
        deployment.send_heartbeat(worker, leader);
        ASSERT_TRUE(worker.find("job-1/0"));
        EXPECT_EQ(phase_of(deployment.call(other, "GET", "/v2/runs/job-1")), "running");
        for (int i = 0; i < 8; ++i) {
            deployment.run(3);
            deployment.send_heartbeat(worker, leader);
        }
        ASSERT_TRUE(worker.find("job-1/0"));
        exit_task(*worker.find("job-1/0"), cause);
        deployment.send_heartbeat(worker, leader);
        deployment.run(0.5);
        std::string phase = phase_of(deployment.call(other, "GET", "/v2/runs/job-1"));
        EXPECT_TRUE(phase == "pending" || phase == "running") << phase;
        EXPECT_EQ(deployment.call(other, "POST", "/v2/runs", service_body("job-1", 1)).status, 200);
    }
    deployment.send_heartbeat(worker, leader);
    ASSERT_TRUE(worker.find("job-1/0"));
    std::string page = deployment.call(leader, "GET", "/operator/jobs").body;
    EXPECT_NE(page.find("job-1 service team team 1 of 1 replicas up"), std::string::npos) << page;
    EXPECT_EQ(phase_of(deployment.call(other, "POST", "/v2/runs/job-1/withdraw")), "withdrawn");
    deployment.run(0.5);
    deployment.send_heartbeat(worker, leader);
    deployment.send_heartbeat(worker, leader);
    deployment.run(0.5);
    EXPECT_EQ(phase_of(deployment.call(leader, "GET", "/v2/runs/job-1")), "withdrawn");
    EXPECT_EQ(deployment.store.rows.count("j/job-1"), 0U);
    EXPECT_EQ(phase_of(deployment.call(other, "POST", "/v2/runs/job-1/withdraw")), "withdrawn");
}

// A spot notice stops a machine's replicas at once, so that their successors can start before the machine is
// gone. A successor starts only after a heartbeat has listed its predecessor's exit.
TEST(ServiceUsers, KeepServiceAfterASpotNotice) {
    Deployment deployment;
    ASSERT_TRUE(deployment.start_and_elect());
    deployment.run(1);
    FakeWorker first, second;
    second.name = "vm-000002";
    deployment.register_worker(first);
    ASSERT_EQ(deployment.call(0, "POST", "/v2/runs", service_body("job-1", 1)).status, 201);
    deployment.send_heartbeat(first, 0);
    deployment.send_heartbeat(first, 0);
    ASSERT_TRUE(first.find("job-1/0"));
    deployment.register_worker(second);
    first.notice_s = 20;
    deployment.send_heartbeat(first, 0);
    ASSERT_TRUE(first.find("job-1/0"));
    EXPECT_EQ(first.find("job-1/0")->phase, TaskPhase::kExited) << "the response to the notice must stop it";
    deployment.send_heartbeat(second, 0);
    EXPECT_FALSE(second.find("job-1/0")) << "no heartbeat has listed its predecessor's exit yet";
    deployment.send_heartbeat(first, 0);
    deployment.send_heartbeat(second, 0);
    ASSERT_TRUE(second.find("job-1/0"));
    EXPECT_EQ(second.find("job-1/0")->attempt, 2U);
    deployment.send_heartbeat(first, 0);
    EXPECT_TRUE(first.tasks.empty()) << "a machine with a spot notice must get no tasks";
}

// While there are services, the response to a busy machine's heartbeat is delayed briefly, so that a new
// replica can be launched without waiting for the next heartbeat. A response with commands is sent at once.
TEST(ServiceUsers, GetReplicasLaunchedBeforeTheNextHeartbeat) {
    Deployment deployment;
    ASSERT_TRUE(deployment.start_and_elect());
    deployment.run(1);
    FakeWorker worker;
    deployment.register_worker(worker);
    ASSERT_TRUE(deployment.launch(worker, 0, "job-1"));
    auto heartbeat_time = [&] {
        Seconds start = deployment.loop.now();
        EXPECT_EQ(deployment.send_heartbeat(worker, 0), 200);
        return deployment.loop.now() - start;
    };
    EXPECT_LT(heartbeat_time(), 0.3) << "no delay without services";
    ASSERT_EQ(deployment.call(0, "POST", "/v2/runs", service_body("job-2", 1)).status, 201);
    EXPECT_LT(heartbeat_time(), 0.3) << "no delay with a launch in the response";
    EXPECT_TRUE(worker.find("job-2/0"));
    Seconds delay = heartbeat_time();
    EXPECT_GT(delay, 0.8 * constants::kBusyHeartbeatHold_s);
    EXPECT_LT(delay, constants::kBusyHeartbeatHold_s + 0.3);
    // A replica that is submitted during the delay is launched by the delayed response.
    TaskGroup scope(deployment.loop);
    bool done = false;
    auto submit_later = [](Deployment& target, CallResult& response, bool& finished) -> Task<void> {
        co_await target.loop.sleep(0.3);
        HttpClient http(target.loop, target.configs[0].listen, 1);
        response = co_await http.call("POST", "/v2/runs", service_body("job-3", 1), 4.0);
        finished = true;
    };
    CallResult submission;
    scope.spawn(submit_later(deployment, submission, done), "submission");
    EXPECT_LT(heartbeat_time(), 0.6);
    EXPECT_TRUE(worker.find("job-3/0"));
    EXPECT_TRUE(deployment.run_until([&] { return done; }));
    // The response that makes the worker forget an exit is not delayed.
    exit_task(*worker.find("job-1/0"), ExitCause::kDone);
    EXPECT_LT(heartbeat_time(), 0.3);
}

// A poll counts the replicas on machines and never counts one as done. A repeated submission gets the
// current state.
TEST(ServiceUsers, GetReplicaCountsAndCurrentStateOnResubmission) {
    Deployment deployment(2);
    ASSERT_TRUE(deployment.start_and_elect());
    int leader = deployment.leader(), other = 1 - leader;
    deployment.run(1);
    const std::string body = service_body("job-1", 3, 8);
    ASSERT_EQ(deployment.call(other, "POST", "/v2/runs", body).status, 201);
    auto poll = [&] { return state_of(deployment.call(other, "GET", "/v2/runs/job-1")); };
    auto resubmit = [&] {
        CallResult response = deployment.call(other, "POST", "/v2/runs", body);
        EXPECT_EQ(response.status, 200);
        return state_of(response).phase;
    };
    EXPECT_EQ(poll(), (test::JobState{"pending", 0, 0}));
    EXPECT_EQ(resubmit(), "pending");
    std::vector<FakeWorker> workers(2);
    workers[1].name = "vm-000002";
    for (const FakeWorker& worker : workers) deployment.list_machine(worker);
    auto send_heartbeats = [&](FakeWorker& worker) {
        for (int i = 0; i < 2; ++i) deployment.send_heartbeat(worker, leader);
        deployment.run(0.5);
    };
    deployment.register_worker(workers[0]);
    send_heartbeats(workers[0]);
    ASSERT_EQ(workers[0].live_tasks(), 2U) << "the machine holds two replicas";
    EXPECT_EQ(poll(), (test::JobState{"running", 0, 2}));
    deployment.register_worker(workers[1]);
    send_heartbeats(workers[1]);
    EXPECT_EQ(poll(), (test::JobState{"running", 0, 3}));
    // All replicas exit with cause `done` after a stable run.
    Seconds stable_at = deployment.loop.now() + constants::kReplicaStableRun_s;
    while (deployment.loop.now() < stable_at)
        for (auto& worker : workers) send_heartbeats(worker);
    for (auto& worker : workers) {
        send_heartbeats(worker);
        for (auto& task : worker.tasks) {
            exit_task(task, ExitCause::kDone);
        }
    }
    for (int i = 0; i < 2; ++i)
        for (auto& worker : workers) send_heartbeats(worker);
    EXPECT_EQ(poll(), (test::JobState{"running", 0, 3}))
        << "all replicas must be restarted and none counted as done";
    EXPECT_EQ(resubmit(), "running");
    EXPECT_EQ(state_of(deployment.call(other, "POST", "/v2/runs/job-1/withdraw")).phase, "withdrawn");
    EXPECT_EQ(resubmit(), "withdrawn");
    for (int i = 0; i < 2; ++i)
        for (auto& worker : workers) send_heartbeats(worker);
    deployment.run(1);
    EXPECT_EQ(deployment.store.rows.count("f/job-1"), 1U);
    EXPECT_EQ(resubmit(), "withdrawn");
    EXPECT_EQ(poll(), (test::JobState{"withdrawn", 0, 0}));
}

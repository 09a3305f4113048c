// Controllers during and after outages of the key-value store or the cloud.
#include <gtest/gtest.h>

#include "standins/deployment.h"

using namespace hareshore;
using namespace hareshore::test;

TEST(StoreOutage, TellsUsersToRetryWithoutDelay) {
    Deployment deployment;
    ASSERT_TRUE(deployment.start_and_elect());
    deployment.run(1);
    deployment.store.down = true;
    Seconds start = deployment.loop.now();
    EXPECT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-1")).status, 503);
    EXPECT_EQ(deployment.call(0, "GET", "/v2/runs/job-1").status, 503);
    EXPECT_EQ(deployment.call(0, "POST", "/v2/runs/job-1/withdraw").status, 503);
    EXPECT_LT(deployment.loop.now() - start, 0.5);
    deployment.store.down = false;
    deployment.run(3);
    EXPECT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-1")).status, 201);
}

// Without the store a leader cannot learn of cancellations. It renews workers' leases only while it cannot
// have missed one for longer than cancel_s - lease_s, and beyond that only while all peers confirm that they
// announced none.
TEST(StoreOutage, RenewsLeasesWithoutTheStoreOnlyWhilePeersConfirm) {
    Deployment deployment(2);
    ASSERT_TRUE(deployment.start_and_elect());
    int first_leader = deployment.leader();
    deployment.run(6);
    FakeWorker worker;
    deployment.register_worker(worker);
    deployment.store.down = true;
    // Sends a heartbeat every 3 s for `duration`; returns the last status.
    auto send_heartbeats = [&](Seconds duration) {
        int status = 0;
        for (Seconds end = deployment.loop.now() + duration; deployment.loop.now() < end;) {
            deployment.run(3);
            status = deployment.send_heartbeat(worker, first_leader);
        }
        return status;
    };
    EXPECT_EQ(send_heartbeats(60), 200) << "the peer confirms that it announced no cancellation";
    deployment.kill(1 - first_leader);
    EXPECT_EQ(send_heartbeats(12), 200) << "still within cancel_s - lease_s";
    EXPECT_EQ(send_heartbeats(21), 503) << "no peer confirms any longer";
    deployment.start(1 - first_leader);
    EXPECT_EQ(send_heartbeats(6), 503) << "a restarted peer cannot confirm what it announced before";
    deployment.store.down = false;
    EXPECT_EQ(send_heartbeats(9), 200);
}

TEST(StoreOutage, StartsFromStoredMachineTypesDuringACloudOutage) {
    Deployment deployment;
    ASSERT_TRUE(deployment.start_and_elect());
    deployment.run(3);
    deployment.kill(0);
    deployment.cloud.down = true;
    deployment.start(0);
    ASSERT_TRUE(deployment.run_until([&] { return deployment.call(0, "GET", "/ready").status == 200; }, 10));
    EXPECT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-1")).status, 201);
}

// A controller without the store and its peers responds 503 to users at once, is not ready for the load
// balancer, and renews workers' leases only as long as that is safe; after that it refuses their heartbeats.
TEST(StoreOutage, IsolatedControllerResponds503AndLetsLeasesExpire) {
    Deployment deployment(2);
    ASSERT_TRUE(deployment.start_and_elect());
    int first_leader = deployment.leader();
    deployment.run(6);
    FakeWorker worker;
    deployment.register_worker(worker);
    ASSERT_EQ(deployment.call(first_leader, "POST", "/v2/runs", job_body("job-1")).status, 201);
    deployment.send_heartbeat(worker, first_leader);
    deployment.store.unresponsive = true;
    deployment.kill(1 - first_leader);
    Seconds start = deployment.loop.now();
    deployment.run(8);
    EXPECT_EQ(deployment.send_heartbeat(worker, first_leader), 200) << "running tasks must continue";
    for (const char* path : {"/v2/runs/job-1", "/v2/runs/job-2"}) {
        Seconds sent = deployment.loop.now();
        EXPECT_EQ(deployment.call(first_leader, "GET", path).status, 503)
            << "it knows neither the job's state nor that the job does not exist";
        EXPECT_LT(deployment.loop.now() - sent, 0.5);
    }
    EXPECT_EQ(deployment.call(first_leader, "POST", "/v2/runs", job_body("job-3")).status, 503);
    EXPECT_EQ(deployment.call(first_leader, "POST", "/v2/runs", "\xc1").status, 400)
        << "invalid input must be refused also without the store";
    deployment.run(5);
    EXPECT_EQ(deployment.call(first_leader, "GET", "/ready").status, 503);
    const Config& config = deployment.configs[0];
    deployment.run(config.cancel_s - config.lease_s - (deployment.loop.now() - start));
    EXPECT_EQ(deployment.send_heartbeat(worker, first_leader), 503);
    deployment.store.unresponsive = false;
    deployment.start(1 - first_leader);
    deployment.run(10);
    EXPECT_EQ(deployment.call(first_leader, "GET", "/v2/runs/job-1").status, 200);
    EXPECT_EQ(deployment.call(first_leader, "GET", "/ready").status, 200);
}

// Controllers that start during a store outage become ready and tell users to retry. A controller that alone
// cannot reach the store does not become ready.
TEST(StoreOutage, ControllersStartedDuringAnOutageBecomeReady) {
    Deployment deployment(2);
    deployment.store.down = true;
    deployment.start(0);
    deployment.start(1);
    EXPECT_EQ(deployment.call(0, "GET", "/ready").status, 503);
    deployment.run(4);
    EXPECT_EQ(deployment.call(0, "GET", "/ready").status, 200);
    EXPECT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-1")).status, 503);
    deployment.store.down = false;
    ASSERT_TRUE(deployment.run_until([&] { return deployment.leader() >= 0; }, 10));
    deployment.run(3);
    deployment.kill(1);
    deployment.configs[1].store = address(1, 2);  // nothing listens there
    deployment.start(1);
    deployment.run(4);
    EXPECT_EQ(deployment.call(0, "GET", "/ready").status, 200);
    EXPECT_EQ(deployment.call(1, "GET", "/ready").status, 503);
}

// After the faults no controller may keep refusing polls, neither because of the load of other polls nor
// because it was isolated.
TEST(StoreOutage, RespondsToEveryPollAfterTheFaults) {
    Deployment deployment(2);
    ASSERT_TRUE(deployment.start_and_elect());
    deployment.run(1);
    for (int i = 1; i <= 20; ++i)
        ASSERT_EQ(deployment.call(i % 2, "POST", "/v2/runs", job_body("job-" + std::to_string(i))).status,
                  201);
    ASSERT_EQ(deployment.call(0, "POST", "/v2/runs/job-20/withdraw").status, 200);
    deployment.store.unresponsive = true;
    deployment.run(20);
    deployment.kill(0);
    deployment.kill(1);
    deployment.start(0);
    deployment.run(1);
    deployment.start(1);
    deployment.store.unresponsive = false;
    deployment.run(8);
    for (int node : {0, 1})
        for (int i = 1; i <= 20; ++i)
            EXPECT_EQ(deployment.call(node, "GET", "/v2/runs/job-" + std::to_string(i)).status, 200) << i;
}

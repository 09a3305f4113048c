// Controllers while the key-value store or the cloud is away, and after.
#include <gtest/gtest.h>

#include "standins/deployment.h"

using namespace hareshore;
using namespace hareshore::test;

TEST(StoreOutage, AsksUsersAtOnceToRetryInAnOutage) {
    Deployment deployment;
    ASSERT_TRUE(deployment.start_and_elect());
    deployment.run(1);
    deployment.store.down = true;
    Seconds began = deployment.loop.now();
    EXPECT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-1")).status, 503);
    EXPECT_EQ(deployment.call(0, "GET", "/v2/runs/job-1").status, 503);
    EXPECT_EQ(deployment.call(0, "POST", "/v2/runs/job-1/withdraw").status, 503);
    EXPECT_LT(deployment.loop.now() - began, 0.5);
    deployment.store.down = false;
    deployment.run(3);
    EXPECT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-1")).status, 201);
}

// Without the state service a leader cannot learn of cancellations. It renews workers' leases only while none
// older than cancel_s - lease_s can be missing, and longer only while all peers confirm that none was told.
TEST(StoreOutage, RenewsLeasesWithoutTheStoreOnlyAsLongAsItMay) {
    Deployment deployment(2);
    ASSERT_TRUE(deployment.start_and_elect());
    int first = deployment.leader();
    deployment.run(6);
    FakeWorker worker;
    deployment.settle(worker);
    deployment.store.down = true;
    // Reports every 3 s for so long; the last status.
    auto report = [&](Seconds time) {
        int status = 0;
        for (Seconds end = deployment.loop.now() + time; deployment.loop.now() < end;) {
            deployment.run(3);
            status = deployment.send_report(worker, first);
        }
        return status;
    };
    EXPECT_EQ(report(60), 200) << "the peer confirms that it announced none";
    deployment.kill(1 - first);
    EXPECT_EQ(report(12), 200) << "within the span";
    EXPECT_EQ(report(21), 503) << "nobody confirms any more";
    deployment.start(1 - first);
    EXPECT_EQ(report(6), 503) << "a restarted peer cannot confirm what it announced before";
    deployment.store.down = false;
    EXPECT_EQ(report(9), 200);
}

TEST(StoreOutage, StartsFromKeptMachineTypesWhileTheCloudIsAway) {
    Deployment deployment;
    ASSERT_TRUE(deployment.start_and_elect());
    deployment.run(3);
    deployment.kill(0);
    deployment.cloud.down = true;
    deployment.start(0);
    ASSERT_TRUE(deployment.until([&] { return deployment.call(0, "GET", "/ready").status == 200; }, 10));
    EXPECT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-1")).status, 201);
}

// A controller without the state service and its peers: users hear so at once, the load balancer is told
// to go elsewhere, and workers are answered as long as that is safe and then sent on.
TEST(StoreOutage, AnIsolatedControllerAnswers503AndLetsLeasesExpire) {
    Deployment deployment(2);
    ASSERT_TRUE(deployment.start_and_elect());
    int first = deployment.leader();
    deployment.run(6);
    FakeWorker worker;
    deployment.settle(worker);
    ASSERT_EQ(deployment.call(first, "POST", "/v2/runs", job_body("job-1")).status, 201);
    deployment.send_report(worker, first);
    deployment.store.silent = true;
    deployment.kill(1 - first);
    Seconds began = deployment.loop.now();
    deployment.run(8);
    EXPECT_EQ(deployment.send_report(worker, first), 200) << "what runs goes on";
    for (const char* path : {"/v2/runs/job-1", "/v2/runs/job-2"}) {
        Seconds asked = deployment.loop.now();
        EXPECT_EQ(deployment.call(first, "GET", path).status, 503) << "it can say neither";
        EXPECT_LT(deployment.loop.now() - asked, 0.5);
    }
    EXPECT_EQ(deployment.call(first, "POST", "/v2/runs", job_body("job-3")).status, 503);
    EXPECT_EQ(deployment.call(first, "POST", "/v2/runs", "\xc1").status, 400)
        << "bad input is told all the same";
    deployment.run(5);
    EXPECT_EQ(deployment.call(first, "GET", "/ready").status, 503);
    const Config& config = deployment.configs[0];
    deployment.run(config.cancel_s - config.lease_s - (deployment.loop.now() - began));
    EXPECT_EQ(deployment.send_report(worker, first), 503);
    deployment.store.silent = false;
    deployment.start(1 - first);
    deployment.run(10);
    EXPECT_EQ(deployment.call(first, "GET", "/v2/runs/job-1").status, 200);
    EXPECT_EQ(deployment.call(first, "GET", "/ready").status, 200);
}

// Controllers that start in an outage of the state service are open for users all the same, and tell them
// when to come back; but not one that alone is refused.
TEST(StoreOutage, IsReadyWhenStartedInAnOutageForAll) {
    Deployment deployment(2);
    deployment.store.down = true;
    deployment.start(0);
    deployment.start(1);
    EXPECT_EQ(deployment.call(0, "GET", "/ready").status, 503);
    deployment.run(4);
    EXPECT_EQ(deployment.call(0, "GET", "/ready").status, 200);
    EXPECT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-1")).status, 503);
    deployment.store.down = false;
    ASSERT_TRUE(deployment.until([&] { return deployment.leader() >= 0; }, 10));
    deployment.run(3);
    deployment.kill(1);
    deployment.configs[1].store = address(1, 2);  // nobody is there
    deployment.start(1);
    deployment.run(4);
    EXPECT_EQ(deployment.call(0, "GET", "/ready").status, 200);
    EXPECT_EQ(deployment.call(1, "GET", "/ready").status, 503);
}

// Once all troubles are over no job may be refused again and again: not for the load of other questions,
// and not by a node that was cut off.
TEST(StoreOutage, AnswersEveryPollOnceTheFaultsAreOver) {
    Deployment deployment(2);
    ASSERT_TRUE(deployment.start_and_elect());
    deployment.run(1);
    for (int i = 1; i <= 20; ++i)
        ASSERT_EQ(deployment.call(i % 2, "POST", "/v2/runs", job_body("job-" + std::to_string(i))).status,
                  201);
    ASSERT_EQ(deployment.call(0, "POST", "/v2/runs/job-20/withdraw").status, 200);
    deployment.store.silent = true;
    deployment.run(20);
    deployment.kill(0);
    deployment.kill(1);
    deployment.start(0);
    deployment.run(1);
    deployment.start(1);
    deployment.store.silent = false;
    deployment.run(8);
    for (int node : {0, 1})
        for (int i = 1; i <= 20; ++i)
            EXPECT_EQ(deployment.call(node, "GET", "/v2/runs/job-" + std::to_string(i)).status, 200) << i;
}

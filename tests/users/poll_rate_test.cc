// Guards against polls above the store's rate limit that fail, make the leader lose its lease or block
// submissions and cancellations.
#include <gtest/gtest.h>

#include "base/token_bucket.h"
#include "standins/deployment.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

constexpr double kStoreRps = 30;
constexpr int kUsers = 60;  // Together, they poll at ten times the store's rate limit.
constexpr Seconds kPollInterval_s = 0.2;

// A proxy that responds with 429 to every request above the store's rate limit.
struct RateLimitedStore {
    Loop& loop;
    FakeStore& store;
    TokenBucket rate_limit{kStoreRps, kStoreRps};
    int refused = 0;
    HttpServer server;

    RateLimitedStore(Loop& l, FakeStore& backend, Address at)
        : loop(l),
          store(backend),
          server(l, at, 200, [this](Request request) { return forward(std::move(request)); }) {}
    Task<Response> forward(Request request) {
        if (!rate_limit.take(1, loop.now())) {
            ++refused;
            co_return Response{429, "", 0, "application/msgpack"};
        }
        co_return co_await store.handle(std::move(request));
    }
};

struct PollRate : testing::Test {
    Deployment deployment{1};
    std::unique_ptr<RateLimitedStore> rate_limited_store;

    PollRate() {
        deployment.configs[0].store = address(20, 2379);
        deployment.configs[0].store_rps = kStoreRps;
        rate_limited_store =
            std::make_unique<RateLimitedStore>(deployment.loop, deployment.store, address(20, 2379));
        deployment.start(0);
        EXPECT_TRUE(deployment.run_until([&] { return deployment.leader() == 0; }));
        deployment.run(3);
        EXPECT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-1")).status, 201);
    }
    ~PollRate() override {
        users.cancel();
        deployment.kill(0);
        rate_limited_store->server.stop();
    }
    // A user who polls an unfinished job at a fixed interval.
    Task<void> poll_job() {
        HttpClient http(deployment.loop, deployment.configs[0].listen, 1);
        while (true) {
            CallResult response = co_await http.call("GET", "/v2/runs/job-1", "", 2.0);
            EXPECT_NE(response.status, 404);
            ++(response.status == 200 ? successful_polls : failed_polls);
            co_await deployment.loop.sleep(kPollInterval_s);
        }
    }
    void start_polling() {
        for (int i = 0; i < kUsers; ++i) users.spawn(poll_job(), "user");
    }
    // Runs for the duration; returns the time for which there was no leader.
    Seconds run_and_measure_time_without_leader(Seconds duration) {
        Seconds leaderless = 0;
        for (Seconds end = deployment.loop.now() + duration; deployment.loop.now() < end;) {
            Seconds before = deployment.loop.now();
            deployment.run(0.1);
            if (deployment.leader() < 0) leaderless += deployment.loop.now() - before;
        }
        return leaderless;
    }
    int successful_polls = 0, failed_polls = 0;
    TaskGroup users{deployment.loop};
};

TEST_F(PollRate, LeaderKeepsItsLease) {
    start_polling();
    EXPECT_EQ(run_and_measure_time_without_leader(40), 0);
    EXPECT_GT(rate_limited_store->refused, 0) << "the polls must exceed the rate limit";
    EXPECT_GT(successful_polls, 40 * kStoreRps) << "one read per poll would exceed the rate limit";
    EXPECT_LT(failed_polls, successful_polls / 20);
}

TEST_F(PollRate, JobsAreAcceptedAndCancelledDuringPolls) {
    start_polling();
    deployment.run(5);
    int accepted = 0, cancelled = 0;
    for (int i = 2; i < 12; ++i) {
        std::string id = "job-" + std::to_string(i);
        accepted += deployment.call(0, "POST", "/v2/runs", job_body(id)).status == 201;
        EXPECT_EQ(deployment.call(0, "GET", "/v2/runs/" + id).status, 200)
            << "the response predates the acceptance";
        cancelled += deployment.call(0, "POST", "/v2/runs/" + id + "/withdraw").status == 200;
        CallResult poll = deployment.call(0, "GET", "/v2/runs/" + id);
        EXPECT_NE(poll.body.find("withdrawn"), std::string::npos) << "the response predates the cancellation";
        deployment.run(1);
    }
    EXPECT_GE(accepted, 9);
    EXPECT_GE(cancelled, 9);
}

TEST_F(PollRate, PollsWithinTheRateSucceed) {
    for (int i = 0; i < 100; ++i) {
        EXPECT_EQ(deployment.call(0, "GET", "/v2/runs/job-1").status, 200);
        deployment.run(0.2);
    }
}

}  // namespace

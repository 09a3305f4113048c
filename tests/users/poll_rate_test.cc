// Polls beyond the rate of the state service: each is answered all the same, and they cost neither the leader
// its lease nor other users their submissions and cancellations.
#include <gtest/gtest.h>

#include "base/token_bucket.h"
#include "standins/deployment.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

constexpr double kStateRps = 30;
constexpr int kUsers = 60;  // together they ask ten times as often as the state service answers
constexpr Seconds kPollPause_s = 0.2;

// A state service that answers 429 above its rate, whatever the request.
struct RateLimitedState {
    Loop& loop;
    FakeStore& state;
    TokenBucket rate{kStateRps, kStateRps};
    int refused = 0;
    HttpServer server;

    RateLimitedState(Loop& l, FakeStore& behind, Address at)
        : loop(l),
          state(behind),
          server(l, at, 200, [this](Request request) { return pass(std::move(request)); }) {}
    Task<Response> pass(Request request) {
        if (!rate.take(1, loop.now())) {
            ++refused;
            co_return Response{429, "", 0, "application/msgpack"};
        }
        co_return co_await state.handle(std::move(request));
    }
};

struct PollRate : testing::Test {
    Deployment deployment{1};
    std::unique_ptr<RateLimitedState> limited;

    PollRate() {
        deployment.configs[0].store = address(20, 2379);
        deployment.configs[0].store_rps = kStateRps;
        limited = std::make_unique<RateLimitedState>(deployment.loop, deployment.store, address(20, 2379));
        deployment.start(0);
        EXPECT_TRUE(deployment.until([&] { return deployment.leader() == 0; }));
        deployment.run(3);
        EXPECT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-1")).status, 201);
    }
    ~PollRate() override {
        users.cancel();
        deployment.kill(0);
        limited->server.stop();
    }
    // One of the users: polls an unfinished job again and again.
    Task<void> poll_job() {
        HttpClient http(deployment.loop, deployment.configs[0].listen, 1);
        while (true) {
            CallResult answer = co_await http.call("GET", "/v2/runs/job-1", "", 2.0);
            EXPECT_NE(answer.status, 404);
            ++(answer.status == 200 ? answered : refused);
            co_await deployment.loop.sleep(kPollPause_s);
        }
    }
    void start_polling() {
        for (int i = 0; i < kUsers; ++i) users.spawn(poll_job(), "user");
    }
    // The time for which nobody led.
    Seconds run_without_leader(Seconds seconds) {
        Seconds without = 0;
        for (Seconds end = deployment.loop.now() + seconds; deployment.loop.now() < end;) {
            Seconds before = deployment.loop.now();
            deployment.run(0.1);
            if (deployment.leader() < 0) without += deployment.loop.now() - before;
        }
        return without;
    }
    int answered = 0, refused = 0;
    TaskGroup users{deployment.loop};
};

TEST_F(PollRate, TheLeaderKeepsItsLease) {
    start_polling();
    EXPECT_EQ(run_without_leader(40), 0);
    EXPECT_GT(limited->refused, 0) << "the rate was reached";
    EXPECT_GT(answered, 40 * kStateRps) << "more than one read for each would allow";
    EXPECT_LT(refused, answered / 20);
}

TEST_F(PollRate, JobsAreStillAcceptedAndCancelled) {
    start_polling();
    deployment.run(5);
    int accepted = 0, cancelled = 0;
    for (int i = 2; i < 12; ++i) {
        std::string id = "job-" + std::to_string(i);
        accepted += deployment.call(0, "POST", "/v2/runs", job_body(id)).status == 201;
        EXPECT_EQ(deployment.call(0, "GET", "/v2/runs/" + id).status, 200) << "older than the acceptance";
        cancelled += deployment.call(0, "POST", "/v2/runs/" + id + "/withdraw").status == 200;
        CallResult poll = deployment.call(0, "GET", "/v2/runs/" + id);
        EXPECT_NE(poll.body.find("withdrawn"), std::string::npos) << "older than the cancellation";
        deployment.run(1);
    }
    EXPECT_GE(accepted, 9);
    EXPECT_GE(cancelled, 9);
}

TEST_F(PollRate, PollsWithinTheRateAreAnswered) {
    for (int i = 0; i < 100; ++i) {
        EXPECT_EQ(deployment.call(0, "GET", "/v2/runs/job-1").status, 200);
        deployment.run(0.2);
    }
}

}  // namespace

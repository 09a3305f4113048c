// Submissions while the writes of the leader and of users together reach the store's write rate limit.
#include <gtest/gtest.h>

#include <algorithm>

#include "base/token_bucket.h"
#include "standins/deployment.h"
#include "standins/lower_limits.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

constexpr double kLowerWriteRate = LowerLimits{}.write_rps;

struct Submission {
    std::string id;
    int node = 0;
    std::string response;  // with status line and headers
    Seconds duration = -1;
    bool accepted() const {
        return response.rfind("HTTP/1.1 201", 0) == 0 || response.rfind("HTTP/1.1 200", 0) == 0;
    }
    bool told_to_retry() const {
        return response.rfind("HTTP/1.1 429", 0) == 0 &&
               response.find("\r\nRetry-After: ") != std::string::npos;
    }
};

Task<void> submit(Deployment& deployment, Submission& submission, size_t& completed) {
    Seconds start = deployment.loop.now(), deadline = start + 5;
    std::string body = job_body(submission.id, [](auto& fields) {
        fields["vcpus"] = fields["cards"] = fields["memory_gb"] = packed_number(0.01);
    });
    submission.response.clear();
    auto stream = co_await connect_to(deployment.loop, deployment.config(submission.node).listen, deadline);
    if (stream) {
        std::string request =
            "POST /v2/runs HTTP/1.1\r\nHost: n\r\nContent-Length: " + std::to_string(body.size()) +
            "\r\n\r\n" + body;
        bool sent = co_await stream->write(request, deadline);
        while (sent && submission.response.find("\r\n\r\n") == std::string::npos) {
            Stream::Read got = co_await stream->read(deadline);
            if (!got.ok()) break;
            submission.response.append(got.bytes);
        }
    }
    submission.duration = deployment.loop.now() - start;
    ++completed;
}

void submit_all(Deployment& deployment, std::vector<Submission*> submissions) {
    TaskGroup scope(deployment.loop);
    size_t completed = 0;
    for (auto* submission : submissions)
        scope.spawn(submit(deployment, *submission, completed), "submission");
    ASSERT_TRUE(deployment.run_until([&] { return completed == submissions.size(); }, 10));
}

Task<void> send_heartbeat(Deployment& deployment, FakeWorker& worker, int node, size_t& completed) {
    co_await worker.send_heartbeat(deployment.loop, deployment.config(node).listen);
    ++completed;
}

}  // namespace

// The leader has more to write than the rate limit allows. Submissions still get a share of the rate; a burst
// above it gets immediate responses that say when to retry, and in the end every job is accepted and none is
// lost.
TEST(WriteRate, BurstAboveRateGetsImmediateResponses) {
    constexpr Seconds kMaxLatency_s = 0.3;
    Deployment deployment(2);
    announce_limits(deployment);
    deployment.start(0);
    deployment.start(1);
    ASSERT_TRUE(deployment.run_until([&] { return deployment.store.rows.count("form") == 1; }));
    enforce_limits(deployment);
    int leader = deployment.leader();
    deployment.run(1);
    FakeWorker worker;
    deployment.register_worker(worker);
    std::vector<Submission> earlier(60);
    for (size_t i = 0; i < earlier.size(); ++i) {
        earlier[i].id = "job-" + std::to_string(1000 + i);
        submit_all(deployment, {&earlier[i]});
        ASSERT_TRUE(earlier[i].accepted());
    }
    for (int i = 0; i < 12; ++i) deployment.send_heartbeat(worker, leader);
    ASSERT_EQ(worker.tasks.size(), earlier.size());
    // From here on, the store enforces the rate limit.
    TokenBucket rate(kLowerWriteRate, kLowerWriteRate);
    deployment.store.transaction_filter = [&](const std::string& txn) {
        auto message = MsgpackDocument::parse(txn);
        deployment.store.transactions_to_rate_limit =
            rate.take(static_cast<double>(message->root()["writes"].size()), deployment.loop.now()) ? 0 : 1;
        return true;
    };
    rate.take(kLowerWriteRate, deployment.loop.now());  // exhausts the burst
    for (auto& task : worker.tasks) exit_task(task, ExitCause::kDone);
    deployment.send_heartbeat(worker, leader);
    std::vector<Submission> steady(15);
    for (size_t i = 0; i < steady.size(); ++i) {
        deployment.run(0.35);
        steady[i].id = "job-" + std::to_string(2000 + i);
        steady[i].node = static_cast<int>(i % 2);
        submit_all(deployment, {&steady[i]});
        EXPECT_TRUE(steady[i].accepted()) << i << ' ' << steady[i].response;
        EXPECT_LT(steady[i].duration, kMaxLatency_s);
    }
    EXPECT_LT(std::count_if(earlier.begin(), earlier.end(),
                            [&](const auto& submission) {
                                return deployment.store.rows.contains("f/" + submission.id);
                            }),
              60)
        << "the leader must still have records to write";

    std::vector<Submission> burst(60);
    std::vector<Submission*> pending;
    for (size_t i = 0; i < burst.size(); ++i) {
        burst[i].id = "job-" + std::to_string(3000 + i);
        burst[i].node = static_cast<int>(i % 2);
        pending.push_back(&burst[i]);
    }
    size_t retries = 0;
    Seconds start = deployment.loop.now();
    while (!pending.empty() && deployment.loop.now() - start < 60) {
        submit_all(deployment, pending);
        for (auto* submission : pending) {
            EXPECT_TRUE(submission->accepted() || submission->told_to_retry()) << submission->response;
            EXPECT_LT(submission->duration, kMaxLatency_s);
        }
        std::erase_if(pending, [](const auto* submission) { return submission->accepted(); });
        retries += pending.size();
        deployment.run(1);
    }
    EXPECT_TRUE(pending.empty()) << pending.size() << " submissions were not accepted";
    EXPECT_GT(retries, 0U) << "the burst must exceed the rate limit";
    for (const auto& submission : burst)
        EXPECT_EQ(deployment.store.rows.count("j/" + submission.id), 1U) << submission.id;
    ASSERT_TRUE(deployment.run_until([&] {
        return std::all_of(earlier.begin(), earlier.end(), [&](const auto& submission) {
            return deployment.store.rows.count("f/" + submission.id) == 1;
        });
    })) << "the leader's writes must complete";
}

// A transaction of the leader that gets no response must not delay a user's submission.
TEST(WriteRate, SubmissionDoesNotWaitForLeaderTransaction) {
    Deployment deployment;
    announce_limits(deployment);
    deployment.start(0);
    ASSERT_TRUE(deployment.run_until([&] { return deployment.store.rows.count("form") == 1; }));
    enforce_limits(deployment);
    deployment.run(1);
    FakeWorker worker;
    deployment.register_worker(worker);
    ASSERT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-1")).status, 201);
    auto is_blocked = [&](const std::string& txn) { return writes_key(txn, "j/job-1"); };
    deployment.store.transaction_filter = [&](const std::string& txn) { return !is_blocked(txn); };
    TaskGroup scope(deployment.loop);
    size_t completed = 0;
    scope.spawn(send_heartbeat(deployment, worker, 0, completed), "heartbeat");
    ASSERT_TRUE(deployment.run_until([&] { return !deployment.store.held_transactions.empty(); }));
    Submission submission{"job-2", 0, "", -1};
    submit_all(deployment, {&submission});
    EXPECT_TRUE(submission.accepted()) << submission.response;
    EXPECT_LT(submission.duration, 0.3);
    ASSERT_TRUE(deployment.run_until([&] { return completed == 1; }));
}

// Users' writes and the leader's share the rate limit. A write above it gets status 429 at once rather than a
// response after the user's timeout.
TEST(WriteRate, RateLimitedWriteIsRefusedImmediately) {
    Deployment deployment;
    deployment.start(0);
    ASSERT_TRUE(deployment.run_until([&] { return deployment.store.rows.count("form") == 1; }));
    deployment.run(1);
    auto expect_rate_limited = [&](const std::string& path, const std::string& body) {
        deployment.store.transactions_to_rate_limit = 1;
        Seconds start = deployment.loop.now();
        CallResult response = deployment.call(0, "POST", path, body);
        EXPECT_EQ(response.status, 429) << path;
        EXPECT_LT(deployment.loop.now() - start, 0.3) << path;
        EXPECT_EQ(deployment.store.transactions_to_rate_limit, 0) << "sent once";
    };
    expect_rate_limited("/v2/runs", job_body("job-1"));
    EXPECT_EQ(deployment.call(0, "GET", "/v2/runs/job-1").status, 404);
    EXPECT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-1")).status, 201);
    expect_rate_limited("/v2/runs/job-1/withdraw", "");
    EXPECT_EQ(phase_of(deployment.call(0, "GET", "/v2/runs/job-1")), "pending");
    EXPECT_EQ(phase_of(deployment.call(0, "POST", "/v2/runs/job-1/withdraw")), "withdrawn");
}

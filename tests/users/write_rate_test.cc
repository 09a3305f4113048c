// Submissions when the leader and users together write as much as the store allows.
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
    std::string answer;  // with its headers
    Seconds took = -1;
    bool accepted() const {
        return answer.rfind("HTTP/1.1 201", 0) == 0 || answer.rfind("HTTP/1.1 200", 0) == 0;
    }
    bool asked_to_return() const {
        return answer.rfind("HTTP/1.1 429", 0) == 0 && answer.find("\r\nRetry-After: ") != std::string::npos;
    }
};

Task<void> submit(Deployment& deployment, Submission& submission, size_t& answered) {
    Seconds began = deployment.loop.now(), until = began + 5;
    std::string body = job_body(submission.id, [](auto& fields) {
        fields["vcpus"] = fields["cards"] = fields["memory_gb"] = packed_number(0.01);
    });
    submission.answer.clear();
    auto stream = co_await connect_to(deployment.loop, deployment.config(submission.node).listen, until);
    if (stream) {
        std::string request =
            "POST /v2/runs HTTP/1.1\r\nHost: n\r\nContent-Length: " + std::to_string(body.size()) +
            "\r\n\r\n" + body;
        bool sent = co_await stream->write(request, until);
        while (sent && submission.answer.find("\r\n\r\n") == std::string::npos) {
            Stream::Read got = co_await stream->read(until);
            if (!got.ok()) break;
            submission.answer.append(got.bytes);
        }
    }
    submission.took = deployment.loop.now() - began;
    ++answered;
}

void submit_all(Deployment& deployment, std::vector<Submission*> list) {
    TaskGroup scope(deployment.loop);
    size_t answered = 0;
    for (auto* x : list) scope.spawn(submit(deployment, *x, answered), "submission");
    ASSERT_TRUE(deployment.run_until([&] { return answered == list.size(); }, 10));
}

Task<void> report(Deployment& deployment, FakeWorker& worker, int node, size_t& answered) {
    co_await worker.send_heartbeat(deployment.loop, deployment.config(node).listen);
    ++answered;
}

}  // namespace

// The leader has more to write than the rate allows. Users' accepts find their share of it all the same; a
// burst beyond it is told at once when to come back, and in the end all are accepted and none is lost.
TEST(WriteRate, ABurstAtTheWriteRateLetsNoUserWait) {
    constexpr Seconds kAtOnce_s = 0.3;
    Deployment deployment(2);
    announce_limits(deployment);
    deployment.start(0);
    deployment.start(1);
    ASSERT_TRUE(deployment.run_until([&] { return deployment.store.rows.count("form") == 1; }));
    enforce_limits(deployment);
    int lead = deployment.leader();
    deployment.run(1);
    FakeWorker worker;
    deployment.register_worker(worker);
    std::vector<Submission> before(60);
    for (size_t i = 0; i < before.size(); ++i) {
        before[i].id = "job-" + std::to_string(1000 + i);
        submit_all(deployment, {&before[i]});
        ASSERT_TRUE(before[i].accepted());
    }
    for (int i = 0; i < 12; ++i) deployment.send_heartbeat(worker, lead);
    ASSERT_EQ(worker.tasks.size(), before.size());
    // From here on the service keeps to the rate.
    TokenBucket rate(kLowerWriteRate, kLowerWriteRate);
    deployment.store.transaction_filter = [&](const std::string& txn) {
        auto m = MsgpackDocument::parse(txn);
        deployment.store.transactions_to_rate_limit =
            rate.take(static_cast<double>(m->root()["writes"].size()), deployment.loop.now()) ? 0 : 1;
        return true;
    };
    rate.take(kLowerWriteRate, deployment.loop.now());  // the burst is used up
    for (auto& task : worker.tasks) exit_task(task, ExitCause::kDone);
    deployment.send_heartbeat(worker, lead);
    std::vector<Submission> steady(15);
    for (size_t i = 0; i < steady.size(); ++i) {
        deployment.run(0.35);
        steady[i].id = "job-" + std::to_string(2000 + i);
        steady[i].node = static_cast<int>(i % 2);
        submit_all(deployment, {&steady[i]});
        EXPECT_TRUE(steady[i].accepted()) << i << ' ' << steady[i].answer;
        EXPECT_LT(steady[i].took, kAtOnce_s);
    }
    EXPECT_LT(std::count_if(before.begin(), before.end(),
                            [&](const auto& x) { return deployment.store.rows.contains("f/" + x.id); }),
              60)
        << "the leader was writing all the while";

    std::vector<Submission> burst(60);
    std::vector<Submission*> open;
    for (size_t i = 0; i < burst.size(); ++i) {
        burst[i].id = "job-" + std::to_string(3000 + i);
        burst[i].node = static_cast<int>(i % 2);
        open.push_back(&burst[i]);
    }
    size_t returned = 0;
    Seconds began = deployment.loop.now();
    while (!open.empty() && deployment.loop.now() - began < 60) {
        submit_all(deployment, open);
        for (auto* x : open) {
            EXPECT_TRUE(x->accepted() || x->asked_to_return()) << x->answer;
            EXPECT_LT(x->took, kAtOnce_s);
        }
        std::erase_if(open, [](const auto* x) { return x->accepted(); });
        returned += open.size();
        deployment.run(1);
    }
    EXPECT_TRUE(open.empty()) << open.size() << " users gave up";
    EXPECT_GT(returned, 0U) << "it was more than the rate";
    for (const auto& x : burst) EXPECT_EQ(deployment.store.rows.count("j/" + x.id), 1U) << x.id;
    ASSERT_TRUE(deployment.run_until([&] {
        return std::all_of(before.begin(), before.end(),
                           [&](const auto& x) { return deployment.store.rows.count("f/" + x.id) == 1; });
    })) << "and the leader's writes are through";
}

// A write of the leader that gets no answer is nothing that a user's accept waits for.
TEST(WriteRate, AnAcceptDoesNotWaitForTheLeadersTransaction) {
    Deployment deployment;
    announce_limits(deployment);
    deployment.start(0);
    ASSERT_TRUE(deployment.run_until([&] { return deployment.store.rows.count("form") == 1; }));
    enforce_limits(deployment);
    deployment.run(1);
    FakeWorker worker;
    deployment.register_worker(worker);
    ASSERT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-1")).status, 201);
    auto hangs = [&](const std::string& txn) { return writes_key(txn, "j/job-1"); };
    deployment.store.transaction_filter = [&](const std::string& txn) { return !hangs(txn); };
    TaskGroup scope(deployment.loop);
    size_t answered = 0;
    scope.spawn(report(deployment, worker, 0, answered), "report");
    ASSERT_TRUE(deployment.run_until([&] { return !deployment.store.held_transactions.empty(); }));
    Submission submission{"job-2", 0, "", -1};
    submit_all(deployment, {&submission});
    EXPECT_TRUE(submission.accepted()) << submission.answer;
    EXPECT_LT(submission.took, 0.3);
    ASSERT_TRUE(deployment.run_until([&] { return answered == 1; }));
}

// Users' writes and the leader's share the rate. A submission that can't be taken now is answered at once,
// never held until its user gives up.
TEST(WriteRate, AUsersWriteBeyondTheRateIsAnsweredAtOnce) {
    Deployment deployment;
    deployment.start(0);
    ASSERT_TRUE(deployment.run_until([&] { return deployment.store.rows.count("form") == 1; }));
    deployment.run(1);
    auto refused = [&](const std::string& path, const std::string& body) {
        deployment.store.transactions_to_rate_limit = 1;
        Seconds began = deployment.loop.now();
        CallResult answer = deployment.call(0, "POST", path, body);
        EXPECT_EQ(answer.status, 429) << path;
        EXPECT_LT(deployment.loop.now() - began, 0.3) << path;
        EXPECT_EQ(deployment.store.transactions_to_rate_limit, 0) << "sent once";
    };
    refused("/v2/runs", job_body("job-1"));
    EXPECT_EQ(deployment.call(0, "GET", "/v2/runs/job-1").status, 404);
    EXPECT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-1")).status, 201);
    refused("/v2/runs/job-1/withdraw", "");
    EXPECT_EQ(phase_of(deployment.call(0, "GET", "/v2/runs/job-1")), "pending");
    EXPECT_EQ(phase_of(deployment.call(0, "POST", "/v2/runs/job-1/withdraw")), "withdrawn");
}

// Guards against responses to users that contradict earlier ones: a delayed response of the store may contain
// an older state than a response that was sent in the meantime.
#include <gtest/gtest.h>

#include "jobs/record.h"
#include "standins/deployment.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

const std::string kJob = "job-1";
const std::string kJobsPath = "/v2/runs";
const std::string kJobPath = kJobsPath + "/" + kJob;
constexpr Seconds kCallTimeout_s = 2;

// A proxy of the store that forwards every request at once and can delay one response.
class DelayedStore {
  public:
    DelayedStore(Loop& loop, FakeStore& store, Address at)
        : loop_(loop),
          store_(store),
          released_(loop),
          server_(loop, at, 200, [this](Request request) { return forward(std::move(request)); }) {}

    // Delays the response to the next such request until release().
    void delay_next(std::string path, std::string body_part = "") {
        delayed_path_ = std::move(path);
        delayed_body_part_ = std::move(body_part);
    }
    bool is_delaying() const { return is_delaying_; }
    void release() {
        is_delaying_ = false;
        released_.notify();
    }
    void stop() { server_.stop(); }

  private:
    Task<Response> forward(Request request) {
        bool delayed =
            request.path == delayed_path_ && request.body.find(delayed_body_part_) != std::string::npos;
        Response response = co_await store_.handle(std::move(request));
        if (!delayed) co_return response;
        delayed_path_.clear();
        is_delaying_ = true;
        while (is_delaying_) co_await loop_.wait(released_, -1);
        co_return response;
    }

    Loop& loop_;
    FakeStore& store_;
    Condition released_;
    bool is_delaying_ = false;
    std::string delayed_path_, delayed_body_part_;
    HttpServer server_;
};

struct PendingCall {
    CallResult response;
    bool completed = false;
};

struct MonotonicReads : testing::Test {
    Deployment deployment{1};
    std::unique_ptr<DelayedStore> delayed_store;
    PendingCall delayed_call;
    TaskGroup users{deployment.loop};

    MonotonicReads() {
        deployment.configs[0].store = address(20, 2379);
        delayed_store =
            std::make_unique<DelayedStore>(deployment.loop, deployment.store, deployment.configs[0].store);
        deployment.start(0);
        EXPECT_TRUE(deployment.run_until([&] { return deployment.leader() == 0; }));
        deployment.run(3);
    }
    ~MonotonicReads() override {
        users.cancel();
        deployment.kill(0);
        delayed_store->stop();
        unwind(deployment.loop);
    }
    Task<void> call(std::string method, std::string path, std::string body) {
        HttpClient http(deployment.loop, deployment.configs[0].listen, 1);
        delayed_call.response =
            co_await http.call(std::move(method), std::move(path), std::move(body), kCallTimeout_s);
        delayed_call.completed = true;
    }
    // Sends a request, and returns once the store's response to it is delayed.
    bool start_delayed_call(std::string method, std::string path, std::string body = "") {
        users.spawn(call(std::move(method), std::move(path), std::move(body)), "delayed call");
        return deployment.run_until([&] { return delayed_store->is_delaying(); }, kCallTimeout_s);
    }
    bool finish_delayed_call() {
        delayed_store->release();
        return deployment.run_until([&] { return delayed_call.completed; }, kCallTimeout_s);
    }
    int submit() { return deployment.call(0, "POST", kJobsPath, job_body(kJob)).status; }
};

TEST_F(MonotonicReads, DelayedPollReflectsCancellation) {
    ASSERT_EQ(submit(), 201);
    delayed_store->delay_next("/keys/" + live_key(kJob));
    ASSERT_TRUE(start_delayed_call("GET", kJobPath));
    CallResult cancelled = deployment.call(0, "POST", kJobPath + "/withdraw");
    EXPECT_EQ(cancelled.status, 200);
    EXPECT_EQ(phase_of(cancelled), "withdrawn");
    ASSERT_TRUE(finish_delayed_call());
    EXPECT_EQ(delayed_call.response.status, 200);
    EXPECT_EQ(phase_of(delayed_call.response), "withdrawn");
}

TEST_F(MonotonicReads, DelayedPollReflectsEndOfJob) {
    ASSERT_EQ(submit(), 201);
    delayed_store->delay_next("/keys/" + live_key(kJob));
    ASSERT_TRUE(start_delayed_call("GET", kJobPath));
    // Writes what the leader writes when the last task has ended.
    FinalRecord final{kJob, false, 1, 1};
    deployment.store.rows.erase(live_key(kJob));
    deployment.store.rows[final_key(kJob)] = {final.pack(), ++deployment.store.revision, 0};
    EXPECT_EQ(phase_of(deployment.call(0, "GET", kJobPath)), "done");
    ASSERT_TRUE(finish_delayed_call());
    EXPECT_EQ(delayed_call.response.status, 200);
    EXPECT_EQ(phase_of(delayed_call.response), "done");
}

TEST_F(MonotonicReads, DelayedPollDoesNotReportAcceptedJobAsUnknown) {
    delayed_store->delay_next("/keys/" + final_key(kJob));
    ASSERT_TRUE(start_delayed_call("GET", kJobPath));
    ASSERT_EQ(submit(), 201);
    ASSERT_TRUE(finish_delayed_call());
    EXPECT_EQ(delayed_call.response.status, 503);
    EXPECT_EQ(deployment.call(0, "GET", kJobPath).status, 200);
}

TEST_F(MonotonicReads, DelayedAcceptanceReflectsCancellation) {
    delayed_store->delay_next("/txn", live_key(kJob));
    ASSERT_TRUE(start_delayed_call("POST", kJobsPath, job_body(kJob)));
    EXPECT_EQ(phase_of(deployment.call(0, "POST", kJobPath + "/withdraw")), "withdrawn");
    ASSERT_TRUE(finish_delayed_call());
    EXPECT_EQ(delayed_call.response.status, 201);
    EXPECT_EQ(phase_of(delayed_call.response), "withdrawn");
}

}  // namespace

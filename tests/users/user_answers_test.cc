// A node answers no question with less than it answered while the state service's answer was under way.
#include <gtest/gtest.h>

#include "jobs/record.h"
#include "standins/deployment.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

const std::string kJob = "job-1";
const std::string kRuns = "/v2/runs";
const std::string kQuery = kRuns + "/" + kJob;
constexpr Seconds kCallLimit_s = 2;

// A state service that carries out every request at once, and keeps back the answer of one.
class HeldState {
  public:
    HeldState(Loop& loop, FakeStore& state, Address at)
        : loop_(loop),
          state_(state),
          released_(loop),
          server_(loop, at, 200, [this](Request request) { return pass(std::move(request)); }) {}

    // The answer of the next such request waits for release().
    void hold_next(std::string path, std::string part_of_body = "") {
        awaited_path_ = std::move(path);
        awaited_part_ = std::move(part_of_body);
    }
    bool holding() const { return holding_; }
    void release() {
        holding_ = false;
        released_.notify();
    }
    void stop() { server_.stop(); }

  private:
    Task<Response> pass(Request request) {
        bool held = request.path == awaited_path_ && request.body.find(awaited_part_) != std::string::npos;
        Response answer = co_await state_.handle(std::move(request));
        if (!held) co_return answer;
        awaited_path_.clear();
        holding_ = true;
        while (holding_) co_await loop_.wait(released_, -1);
        co_return answer;
    }

    Loop& loop_;
    FakeStore& state_;
    Condition released_;
    bool holding_ = false;
    std::string awaited_path_, awaited_part_;
    HttpServer server_;
};

struct PendingAnswer {
    CallResult answer;
    bool arrived = false;
};

struct UserAnswers : testing::Test {
    Deployment deployment{1};
    std::unique_ptr<HeldState> held_state;
    PendingAnswer slow;
    TaskGroup users{deployment.loop};

    UserAnswers() {
        deployment.configs[0].store = address(20, 2379);
        held_state =
            std::make_unique<HeldState>(deployment.loop, deployment.store, deployment.configs[0].store);
        deployment.start(0);
        EXPECT_TRUE(deployment.until([&] { return deployment.leader() == 0; }));
        deployment.run(3);
    }
    ~UserAnswers() override {
        users.cancel();
        deployment.kill(0);
        held_state->stop();
        unwind(deployment.loop);
    }
    Task<void> ask(std::string method, std::string path, std::string body) {
        HttpClient http(deployment.loop, deployment.configs[0].listen, 1);
        slow.answer = co_await http.call(std::move(method), std::move(path), std::move(body), kCallLimit_s);
        slow.arrived = true;
    }
    // Asks, and returns once the answer of the state service is held.
    bool ask_slowly(std::string method, std::string path, std::string body = "") {
        users.spawn(ask(std::move(method), std::move(path), std::move(body)), "slow user");
        return deployment.until([&] { return held_state->holding(); }, kCallLimit_s);
    }
    bool slow_answer_arrives() {
        held_state->release();
        return deployment.until([&] { return slow.arrived; }, kCallLimit_s);
    }
    int submit() { return deployment.call(0, "POST", kRuns, job_body(kJob)).status; }
};

TEST_F(UserAnswers, ASlowPollSaysNothingOlderThanACancellation) {
    ASSERT_EQ(submit(), 201);
    held_state->hold_next("/keys/" + live_key(kJob));
    ASSERT_TRUE(ask_slowly("GET", kQuery));
    CallResult cancelled = deployment.call(0, "POST", kQuery + "/withdraw");
    EXPECT_EQ(cancelled.status, 200);
    EXPECT_EQ(phase_of(cancelled), "withdrawn");
    ASSERT_TRUE(slow_answer_arrives());
    EXPECT_EQ(slow.answer.status, 200);
    EXPECT_EQ(phase_of(slow.answer), "withdrawn");
}

TEST_F(UserAnswers, ASlowPollSaysNothingOlderThanTheEndOfTheJob) {
    ASSERT_EQ(submit(), 201);
    held_state->hold_next("/keys/" + live_key(kJob));
    ASSERT_TRUE(ask_slowly("GET", kQuery));
    // As the leader does when the last task has ended.
    FinalRecord final{kJob, false, 1, 1};
    deployment.store.rows.erase(live_key(kJob));
    deployment.store.rows[final_key(kJob)] = {final.pack(), ++deployment.store.revision, 0};
    EXPECT_EQ(phase_of(deployment.call(0, "GET", kQuery)), "done");
    ASSERT_TRUE(slow_answer_arrives());
    EXPECT_EQ(slow.answer.status, 200);
    EXPECT_EQ(phase_of(slow.answer), "done");
}

TEST_F(UserAnswers, ASlowPollDoesNotDenyAJobThatWasAcceptedMeanwhile) {
    held_state->hold_next("/keys/" + final_key(kJob));
    ASSERT_TRUE(ask_slowly("GET", kQuery));
    ASSERT_EQ(submit(), 201);
    ASSERT_TRUE(slow_answer_arrives());
    EXPECT_EQ(slow.answer.status, 503);
    EXPECT_EQ(deployment.call(0, "GET", kQuery).status, 200);
}

TEST_F(UserAnswers, ALateAcceptanceSaysThatTheJobWasCancelledMeanwhile) {
    held_state->hold_next("/txn", live_key(kJob));
    ASSERT_TRUE(ask_slowly("POST", kRuns, job_body(kJob)));
    EXPECT_EQ(phase_of(deployment.call(0, "POST", kQuery + "/withdraw")), "withdrawn");
    ASSERT_TRUE(slow_answer_arrives());
    EXPECT_EQ(slow.answer.status, 201);
    EXPECT_EQ(phase_of(slow.answer), "withdrawn");
}

}  // namespace

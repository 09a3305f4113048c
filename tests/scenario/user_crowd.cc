#include "scenario/user_crowd.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace hareshore::test {

namespace {

constexpr Seconds kPollTimeout_s = 2;            // users wait this long for a poll
constexpr Seconds kWriteTimeout_s = 5;           // and this long for a submission or a cancellation
constexpr Seconds kRetry_s = 1;                  // before they repeat one
constexpr Seconds kPollInterval_s = 0.25;        // between questions that follow nothing new
constexpr Seconds kClosePollInterval_s = 0.003;  // between questions right after something new
constexpr int kClosePolls = 5;

const std::string kRuns = "/v2/runs";

bool successful(const CallResult& answer) {
    return answer.status == 200 || answer.status == 201;
}

AnswerAge age_of(const std::string& phase) {
    return phase == "done" || phase == "withdrawn" ? AnswerAge::kOver : AnswerAge::kAccepted;
}

}  // namespace

UserCrowd::UserCrowd(FaultScenario& scenario) : scenario_(scenario), scope_(scenario.deployment.loop) {}

void UserCrowd::submit(const std::string& job, uint32_t tasks, Seconds run_s, size_t first_node) {
    scenario_.jobs.prepare(job, tasks, run_s);
    scope_.spawn(insist(job, kRuns, scenario_.jobs.bodies[job], first_node), "submission");
}

void UserCrowd::cancel(const std::string& job, size_t first_node) {
    cancelled_.insert(job);
    scope_.spawn(insist(job, kRuns + "/" + job + "/withdraw", "", first_node), "cancellation");
}

void UserCrowd::when(const std::string& job, AnswerAge age, std::function<void()> callback) {
    newest_[job].callbacks[age] = std::move(callback);
}

Task<void> UserCrowd::insist(std::string job, std::string path, std::string body, size_t first_node) {
    size_t nodes = scenario_.deployment.nodes.size();
    for (size_t i = first_node;; ++i) {
        if (co_await ask(job, i % nodes, "POST", path, body)) co_return;
        co_await scenario_.deployment.loop.sleep(kRetry_s);
    }
}

Task<bool> UserCrowd::ask(std::string job, size_t node, std::string method, std::string path,
                          std::string body) {
    Deployment& deployment = scenario_.deployment;
    if (!deployment.nodes[node]) co_return false;
    NewestAnswers& newest = newest_[job];
    Question question{job, node, newest.anywhere, newest.at_node[node]};
    HttpClient http(deployment.loop, deployment.configs[node].listen, 1);
    Seconds timeout = method == "GET" ? kPollTimeout_s : kWriteTimeout_s;
    CallResult answer = co_await http.call(std::move(method), std::move(path), std::move(body), timeout);
    take(question, answer);
    co_return successful(answer);
}

void UserCrowd::take(const Question& question, const CallResult& answer) {
    EXPECT_NE(answer.status, 400) << question.job;
    EXPECT_NE(answer.status, 422) << question.job;
    if (!successful(answer) && answer.status != 404) return;
    ++answers_;
    std::string phase = successful(answer) ? phase_of(answer) : "";
    AnswerAge age = successful(answer) ? age_of(phase) : AnswerAge::kUnknownJob;
    check_age(question, age, answer.status, phase);
    record(question.job, age, phase);
    NewestAnswers& newest = newest_[question.job];
    newest.at_node[question.node] = std::max(newest.at_node[question.node], age);
    if (age <= newest.anywhere) return;
    bool first = newest.anywhere < AnswerAge::kAccepted && age >= AnswerAge::kAccepted;
    newest.anywhere = age;
    if (first) scope_.spawn(poll_forever(question.job), "poll");
    scope_.spawn(poll_closely(question.job), "close poll");
    if (auto callback = newest.callbacks.find(age); callback != newest.callbacks.end()) callback->second();
}

void UserCrowd::check_age(const Question& question, AnswerAge age, int status, const std::string& phase) {
    EXPECT_GE(age, question.newest_anywhere) << question.job << ": node " << question.node << " answers "
                                             << status << " " << phase << " after a newer answer";
    EXPECT_GE(age, newest_[question.job].at_node[question.node])
        << question.job << ": node " << question.node << " answers " << status << " " << phase
        << " after a newer answer of its own";
}

void UserCrowd::record(const std::string& job, AnswerAge age, const std::string& phase) {
    if (phase == "withdrawn") {
        EXPECT_TRUE(cancelled_.contains(job)) << job << " was not cancelled";
        scenario_.jobs.cancelled.emplace(job, scenario_.deployment.loop.now());
    }
    if (age < AnswerAge::kAccepted) return;
    scenario_.jobs.accepted.insert(job);
    // An older answer to a question that was under way elsewhere contradicts nothing.
    if (age >= newest_[job].anywhere) scenario_.jobs.check_answer(job, phase);
}

Task<void> UserCrowd::ask_once(std::string job, size_t node, std::string method, std::string path,
                               std::string body) {
    co_await ask(std::move(job), node, std::move(method), std::move(path), std::move(body));
}

void UserCrowd::poll_everywhere(const std::string& job) {
    const std::string path = kRuns + "/" + job;
    for (size_t node = 0; node < scenario_.deployment.nodes.size(); ++node)
        scope_.spawn(ask_once(job, node, "GET", path, ""), "question");
}

void UserCrowd::repeat_submission(const std::string& job) {
    for (size_t node = 0; node < scenario_.deployment.nodes.size(); ++node)
        scope_.spawn(ask_once(job, node, "POST", kRuns, scenario_.jobs.bodies[job]), "repeated submission");
}

Task<void> UserCrowd::poll_forever(std::string job) {
    while (true) {
        poll_everywhere(job);
        co_await scenario_.deployment.loop.sleep(kPollInterval_s);
    }
}

Task<void> UserCrowd::poll_closely(std::string job) {
    for (int i = 0; i < kClosePolls; ++i) {
        poll_everywhere(job);
        if (i % 2 == 0) repeat_submission(job);
        co_await scenario_.deployment.loop.sleep(kClosePollInterval_s);
    }
}

}  // namespace hareshore::test

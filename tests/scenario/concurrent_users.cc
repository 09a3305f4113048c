#include "scenario/concurrent_users.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace hareshore::test {

namespace {

constexpr Seconds kPollTimeout_s = 2;
constexpr Seconds kWriteTimeout_s = 5;  // of submissions and cancellations
constexpr Seconds kRetryInterval_s = 1;
constexpr Seconds kPollInterval_s = 0.25;
constexpr Seconds kBurstPollInterval_s = 0.003;  // right after a change of state
constexpr int kPollsPerBurst = 5;

const std::string kJobsPath = "/v2/runs";

bool successful(const CallResult& response) {
    return response.status == 200 || response.status == 201;
}

ObservedState state_from(const std::string& phase) {
    return phase == "done" || phase == "withdrawn" ? ObservedState::kFinished : ObservedState::kAccepted;
}

}  // namespace

ConcurrentUsers::ConcurrentUsers(FaultScenario& scenario)
    : scenario_(scenario), scope_(scenario.deployment.loop) {}

void ConcurrentUsers::submit(const std::string& job, uint32_t tasks, Seconds run_s, size_t first_node) {
    scenario_.jobs.register_job(job, tasks, run_s);
    scope_.spawn(retry_until_accepted(job, kJobsPath, scenario_.jobs.bodies[job], first_node), "submission");
}

void ConcurrentUsers::cancel(const std::string& job, size_t first_node) {
    cancelled_.insert(job);
    scope_.spawn(retry_until_accepted(job, kJobsPath + "/" + job + "/withdraw", "", first_node),
                 "cancellation");
}

void ConcurrentUsers::on_first(const std::string& job, ObservedState state, std::function<void()> callback) {
    newest_[job].callbacks[state] = std::move(callback);
}

Task<void> ConcurrentUsers::retry_until_accepted(std::string job, std::string path, std::string body,
                                                 size_t first_node) {
    size_t nodes = scenario_.deployment.nodes.size();
    for (size_t i = first_node;; ++i) {
        if (co_await send_request(job, i % nodes, "POST", path, body)) co_return;
        co_await scenario_.deployment.loop.sleep(kRetryInterval_s);
    }
}

Task<bool> ConcurrentUsers::send_request(std::string job, size_t node, std::string method, std::string path,
                                         std::string body) {
    Deployment& deployment = scenario_.deployment;
    if (!deployment.nodes[node]) co_return false;
    NewestStates& newest = newest_[job];
    SentRequest request{job, node, newest.anywhere, newest.at_node[node]};
    HttpClient http(deployment.loop, deployment.configs[node].listen, 1);
    Seconds timeout = method == "GET" ? kPollTimeout_s : kWriteTimeout_s;
    CallResult response = co_await http.call(std::move(method), std::move(path), std::move(body), timeout);
    handle_response(request, response);
    co_return successful(response);
}

void ConcurrentUsers::handle_response(const SentRequest& request, const CallResult& response) {
    EXPECT_NE(response.status, 400) << request.job;
    EXPECT_NE(response.status, 422) << request.job;
    if (!successful(response) && response.status != 404) return;
    ++responses_;
    std::string phase = successful(response) ? phase_of(response) : "";
    ObservedState state = successful(response) ? state_from(phase) : ObservedState::kUnknownJob;
    check_not_stale(request, state, response.status, phase);
    record_state(request.job, state, phase);
    NewestStates& newest = newest_[request.job];
    newest.at_node[request.node] = std::max(newest.at_node[request.node], state);
    if (state <= newest.anywhere) return;
    bool first = newest.anywhere < ObservedState::kAccepted && state >= ObservedState::kAccepted;
    newest.anywhere = state;
    if (first) scope_.spawn(poll_forever(request.job), "poll");
    scope_.spawn(poll_in_burst(request.job), "poll burst");
    if (auto callback = newest.callbacks.find(state); callback != newest.callbacks.end()) callback->second();
}

void ConcurrentUsers::check_not_stale(const SentRequest& request, ObservedState state, int status,
                                      const std::string& phase) {
    EXPECT_GE(state, request.newest_anywhere) << request.job << ": node " << request.node << " responds "
                                              << status << " " << phase << " after any node's newer response";
    EXPECT_GE(state, newest_[request.job].at_node[request.node])
        << request.job << ": node " << request.node << " responds " << status << " " << phase
        << " after its own newer response";
}

void ConcurrentUsers::record_state(const std::string& job, ObservedState state, const std::string& phase) {
    if (phase == "withdrawn") {
        EXPECT_TRUE(cancelled_.contains(job)) << job << " was not cancelled";
        scenario_.jobs.cancelled.emplace(job, scenario_.deployment.loop.now());
    }
    if (state < ObservedState::kAccepted) return;
    scenario_.jobs.accepted.insert(job);
    // An older state from a request that was sent before the newer response is no contradiction.
    if (state >= newest_[job].anywhere) scenario_.jobs.check_reported_phase(job, phase);
}

Task<void> ConcurrentUsers::send_once(std::string job, size_t node, std::string method, std::string path,
                                      std::string body) {
    co_await send_request(std::move(job), node, std::move(method), std::move(path), std::move(body));
}

void ConcurrentUsers::poll_all_nodes(const std::string& job) {
    const std::string path = kJobsPath + "/" + job;
    for (size_t node = 0; node < scenario_.deployment.nodes.size(); ++node)
        scope_.spawn(send_once(job, node, "GET", path, ""), "poll");
}

void ConcurrentUsers::repeat_submission(const std::string& job) {
    for (size_t node = 0; node < scenario_.deployment.nodes.size(); ++node)
        scope_.spawn(send_once(job, node, "POST", kJobsPath, scenario_.jobs.bodies[job]),
                     "repeated submission");
}

Task<void> ConcurrentUsers::poll_forever(std::string job) {
    while (true) {
        poll_all_nodes(job);
        co_await scenario_.deployment.loop.sleep(kPollInterval_s);
    }
}

Task<void> ConcurrentUsers::poll_in_burst(std::string job) {
    for (int i = 0; i < kPollsPerBurst; ++i) {
        poll_all_nodes(job);
        if (i % 2 == 0) repeat_submission(job);
        co_await scenario_.deployment.loop.sleep(kBurstPollInterval_s);
    }
}

}  // namespace hareshore::test

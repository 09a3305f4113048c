// Users who send requests about the same jobs to all controllers concurrently, most often right after a job's
// state has changed.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "scenario/fault_scenario.h"

namespace hareshore::test {

// A job's state as a response shows it, ordered from the oldest to the newest.
enum class ObservedState : uint8_t { kNone, kUnknownJob, kAccepted, kFinished };

// Checks that responses never go back to an older state. A response is stale if any controller had sent a
// newer state before the request was sent, or if the same controller had sent a newer one before this
// response.
class ConcurrentUsers {
  public:
    explicit ConcurrentUsers(FaultScenario& scenario);

    // Submits the job, first to this controller and then to the others until one accepts it. All controllers
    // are polled about it from then on.
    void submit(const std::string& job, uint32_t tasks, Seconds run_s, size_t first_node);
    // Cancels the job, first at this controller and then at the others until one confirms it.
    void cancel(const std::string& job, size_t first_node);
    // Calls `callback` once, when a controller first responds with this state.
    void on_first(const std::string& job, ObservedState state, std::function<void()> callback);
    void stop() { scope_.cancel(); }

    [[nodiscard]] size_t responses() const { return responses_; }

  private:
    struct SentRequest {
        std::string job;
        size_t node = 0;
        // The newest states when the request was sent.
        ObservedState newest_anywhere = ObservedState::kNone, newest_at_node = ObservedState::kNone;
    };
    struct NewestStates {
        ObservedState anywhere = ObservedState::kNone;
        std::map<size_t, ObservedState> at_node;
        std::map<ObservedState, std::function<void()>> callbacks;
    };

    // Sends the request to one controller after the other until one accepts it.
    Task<void> retry_until_accepted(std::string job, std::string path, std::string body, size_t first_node);
    // Whether the response was 200 or 201.
    Task<bool> send_request(std::string job, size_t node, std::string method, std::string path,
                            std::string body);
    // Sends the request and ignores whether it succeeded.
    Task<void> send_once(std::string job, size_t node, std::string method, std::string path,
                         std::string body);
    Task<void> poll_forever(std::string job);
    // Polls all controllers several times at short intervals.
    Task<void> poll_in_burst(std::string job);
    void poll_all_nodes(const std::string& job);
    void repeat_submission(const std::string& job);
    void handle_response(const SentRequest& request, const CallResult& response);
    // Checks that the state is not stale; `phase` is the one in the response.
    void check_not_stale(const SentRequest& request, ObservedState state, int status,
                         const std::string& phase);
    // Passes the state on to the scenario's job ledger.
    void record_state(const std::string& job, ObservedState state, const std::string& phase);

    FaultScenario& scenario_;
    std::map<std::string, NewestStates> newest_;
    std::set<std::string> cancelled_;
    size_t responses_ = 0;
    TaskGroup scope_;
};

}  // namespace hareshore::test

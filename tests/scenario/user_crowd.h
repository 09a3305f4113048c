// Users who ask about the same jobs at all controllers at once, most of all right after an answer that was
// new.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "scenario/fault_scenario.h"

namespace hareshore::test {

// How much an answer tells: each kind is newer than the one before it.
enum class AnswerAge : uint8_t { kNone, kUnknownJob, kAccepted, kOver };

// Compares every answer with those given before. An answer is too old if, before its question was asked, any
// controller had given a newer one, or if its own controller had given a newer one before this answer.
class UserCrowd {
  public:
    explicit UserCrowd(FaultScenario& scenario);

    // Submits the job, first at this controller and then at the others until one accepts it; all controllers
    // are asked about it from then on.
    void submit(const std::string& job, uint32_t tasks, Seconds run_s, size_t first_node);
    // Cancels the job, first at this controller and then at the others until one confirms it.
    void cancel(const std::string& job, size_t first_node);
    // Called once, when any controller has first given an answer of this age.
    void when(const std::string& job, AnswerAge age, std::function<void()> callback);
    void stop() { scope_.cancel(); }

    [[nodiscard]] size_t answers() const { return answers_; }

  private:
    struct Question {
        std::string job;
        size_t node = 0;
        // The newest answers when it was asked.
        AnswerAge newest_anywhere = AnswerAge::kNone, newest_here = AnswerAge::kNone;
    };
    struct NewestAnswers {
        AnswerAge anywhere = AnswerAge::kNone;
        std::map<size_t, AnswerAge> at_node;
        std::map<AnswerAge, std::function<void()>> callbacks;
    };

    // Repeats the request at one controller after the other until it is answered.
    Task<void> insist(std::string job, std::string path, std::string body, size_t first_node);
    Task<bool> ask(std::string job, size_t node, std::string method, std::string path, std::string body);
    Task<void> ask_once(std::string job, size_t node, std::string method, std::string path, std::string body);
    Task<void> poll_forever(std::string job);
    Task<void> poll_closely(std::string job);
    void poll_everywhere(const std::string& job);
    void repeat_submission(const std::string& job);
    void take(const Question& question, const CallResult& answer);
    // Checks that the answer is not older than others; `phase` as the answer has it.
    void check_age(const Question& question, AnswerAge age, int status, const std::string& phase);
    void record(const std::string& job, AnswerAge age, const std::string& phase);

    FaultScenario& scenario_;
    std::map<std::string, NewestAnswers> newest_;
    std::set<std::string> cancelled_;
    size_t answers_ = 0;
    TaskGroup scope_;
};

}  // namespace hareshore::test

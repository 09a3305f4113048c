// Users who ask about the same jobs at all nodes at once, most of all right after an answer that was new.
#pragma once
#include "fault_scenario.h"

namespace hareshore::test {

// How much an answer says: each kind is newer than the one before it.
enum class AnswerAge { kNone, kUnknownJob, kAccepted, kOver };

// Holds every answer against those given before. An answer is too old if, before its question was asked, any
// node had given a newer one, or if its own node had given a newer one before this answer.
class UserCrowd {
  public:
    explicit UserCrowd(World& world);

    // Submits the job, first at this node and then at the others until one accepts it; all nodes are asked
    // about it from then on.
    void submit(const std::string& job, uint32_t tasks, Seconds run_s, size_t first_node);
    // Cancels the job, first at this node and then at the others until one confirms it.
    void cancel(const std::string& job, size_t first_node);
    // Called once, when any node has first given an answer of this age.
    void when(const std::string& job, AnswerAge age, std::function<void()> then);
    void stop() { scope_.cancel(); }

    size_t answers() const { return answers_; }

  private:
    struct Question {
        std::string job;
        size_t node = 0;
        AnswerAge known = AnswerAge::kNone;  // the newest answer by any node when it was asked
        AnswerAge known_here = AnswerAge::kNone;
    };
    struct Known {
        AnswerAge anywhere = AnswerAge::kNone;
        std::map<size_t, AnswerAge> at_node;
        std::map<AnswerAge, std::function<void()>> then;
    };

    // Repeats the request at one node after the other until it is answered.
    Task<void> insist(std::string job, std::string path, std::string body, size_t first_node);
    Task<bool> ask(std::string job, size_t node, std::string method, std::string path, std::string body);
    Task<void> look_on(std::string job);
    Task<void> look_closely(std::string job);
    void look(const std::string& job);
    void repeat_submission(const std::string& job);
    void take(const Question& question, const CallResult& answer);

    World& world_;
    std::map<std::string, Known> cancellations_known_until_;
    std::set<std::string> cancelled_;
    size_t answers_ = 0;
    TaskGroup scope_;
};

}  // namespace hareshore::test

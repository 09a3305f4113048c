// Structured concurrency: tasks that run on the loop by themselves belong to a group, which cancels them
// together.
#pragma once
#include <cstddef>
#include <list>
#include <memory>
#include <string>

#include "loop/task.h"

namespace hareshore {

class Loop;

class TaskGroup {
  public:
    // `loop` must outlive the group and its tasks.
    explicit TaskGroup(Loop& loop) : loop_(loop), state_(std::make_shared<State>()) {}
    TaskGroup(const TaskGroup&) = delete;
    TaskGroup& operator=(const TaskGroup&) = delete;
    ~TaskGroup() { cancel(); }

    // Runs `task` from the loop's next turn on; the loop owns it until it ends. An exception that leaves it
    // is logged with `name`. After cancel() nothing is started.
    void spawn(Task<void> task, std::string name, Priority priority = Priority::kNormal);
    // Cancels all tasks, which unwind in the loop's next turns: what they refer to must live until size() is
    // 0.
    void cancel();
    // Tasks that have not ended.
    [[nodiscard]] size_t size() const { return state_->tasks.size(); }
    [[nodiscard]] bool cancelled() const { return state_->cancelled; }

  private:
    // Shared with the tasks, which may outlive the group while they unwind.
    struct State {
        std::list<SpawnedTask*> tasks;
        bool cancelled = false;
    };

    Loop& loop_;
    std::shared_ptr<State> state_;
};

}  // namespace hareshore

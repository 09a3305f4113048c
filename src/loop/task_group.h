// Structured concurrency: independently running tasks belong to a group, which cancels them together.
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

    // Starts `task` in the next turn of the loop, which owns it until it ends. An exception that it throws is
    // logged with `name`. Does nothing after cancel().
    void spawn(Task<void> task, std::string name, Priority priority = Priority::kNormal);
    // Cancels all tasks. They unwind in the next turns of the loop: objects that they refer to must live
    // until size() is 0.
    void cancel();
    // Number of tasks that have not ended.
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

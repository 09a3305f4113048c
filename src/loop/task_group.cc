#include "loop/task_group.h"

#include <utility>

#include "base/log.h"
#include "loop/loop.h"

namespace hareshore {

namespace {

// The outermost coroutine of a spawned task; its frame destroys itself when it ends.
struct Root {
    struct promise_type {
        SpawnedTask* spawned_task = nullptr;
        Root get_return_object() { return {std::coroutine_handle<promise_type>::from_promise(*this)}; }
        std::suspend_always initial_suspend() noexcept { return {}; }
        std::suspend_never final_suspend() noexcept { return {}; }
        void return_void() {}
        void unhandled_exception() { std::terminate(); }
    };
    std::coroutine_handle<promise_type> handle;
};

// The arguments live in the coroutine's frame, which owns the task and its state and shares the group's
// state.
template <class GroupState>
Root run_root(Task<void> task, std::string name, std::shared_ptr<GroupState> group,
              std::unique_ptr<SpawnedTask> spawned) {
    try {
        if (!spawned->cancelled) co_await task;
    } catch (const Cancelled&) {
    } catch (const std::exception& e) {
        log::error("routine_failed", {{"routine", name}, {"error", e.what()}});
    }
    group->tasks.erase(spawned->group_position);
}

}  // namespace

void TaskGroup::spawn(Task<void> task, std::string name, Priority priority) {
    if (state_->cancelled) return;
    auto owned = std::make_unique<SpawnedTask>();
    SpawnedTask* spawned = owned.get();
    spawned->priority = priority;
    spawned->group_position = state_->tasks.insert(state_->tasks.end(), spawned);
    Root root = run_root(std::move(task), std::move(name), state_, std::move(owned));
    root.handle.promise().spawned_task = spawned;
    loop_.post(root.handle, spawned);
}

void TaskGroup::cancel() {
    state_->cancelled = true;
    for (SpawnedTask* task : state_->tasks) task->cancel();
}

}  // namespace hareshore

// Coroutines of the event loop. A Task is a lazily started coroutine, which runs when it is awaited. A
// SpawnedTask is a chain of Tasks that await each other; the loop runs it independently of its creator
// (TaskGroup::spawn).
//
// Cancellation: the current wait of a cancelled SpawnedTask and every later one throw Cancelled, so that its
// stack unwinds in order. Coroutines must not catch Cancelled.
#pragma once
#include <coroutine>
#include <exception>
#include <list>
#include <optional>
#include <utility>

namespace hareshore {

struct Waiter;

// Thrown by every wait of a cancelled task.
struct Cancelled {};

// Urgent tasks run before all other ready ones.
enum class Priority : unsigned char { kNormal, kUrgent };

// State shared by the coroutines of a spawned chain. Owned by the outermost coroutine of the chain.
struct SpawnedTask {
    Priority priority = Priority::kNormal;
    Waiter* current_wait = nullptr;  // null while the task runs or is ready to run
    bool cancelled = false;
    std::list<SpawnedTask*>::iterator group_position;  // in the task list of its group
    void cancel();
};

// Members common to the promises of all Tasks.
struct PromiseBase {
    std::coroutine_handle<> continuation;  // the coroutine that awaits this one
    SpawnedTask* spawned_task = nullptr;   // the chain that this coroutine belongs to
    std::exception_ptr error;              // thrown by the coroutine; rethrown where it is awaited

    std::suspend_always initial_suspend() noexcept { return {}; }
    // Resumes the awaiting coroutine.
    struct FinalAwaiter {
        bool await_ready() noexcept { return false; }
        template <class P>
        std::coroutine_handle<> await_suspend(std::coroutine_handle<P> finished) noexcept {
            auto awaiting = finished.promise().continuation;
            return awaiting ? awaiting : std::noop_coroutine();
        }
        void await_resume() noexcept {}
    };
    FinalAwaiter final_suspend() noexcept { return {}; }
    void unhandled_exception() { error = std::current_exception(); }
};

template <class T>
struct Promise;

// A coroutine with a result. It starts when it is awaited, at most once, and is destroyed with this object.
// Arguments that it takes by reference must outlive it.
template <class T = void>
class [[nodiscard]] Task {
  public:
    using promise_type = Promise<T>;
    using Handle = std::coroutine_handle<promise_type>;

    explicit Task(Handle handle) : handle_(handle) {}
    Task(Task&& other) noexcept : handle_(std::exchange(other.handle_, {})) {}
    Task(const Task&) = delete;
    Task& operator=(const Task&) = delete;
    Task& operator=(Task&&) = delete;
    ~Task() {
        if (handle_) handle_.destroy();
    }

    [[nodiscard]] bool await_ready() const noexcept { return false; }
    template <class P>
    std::coroutine_handle<> await_suspend(std::coroutine_handle<P> caller) noexcept {
        handle_.promise().continuation = caller;
        handle_.promise().spawned_task = caller.promise().spawned_task;
        return handle_;
    }
    T await_resume() {
        if (handle_.promise().error) std::rethrow_exception(handle_.promise().error);
        return handle_.promise().take();
    }

  private:
    Handle handle_;
};

template <class T>
struct Promise : PromiseBase {
    std::optional<T> value;
    Task<T> get_return_object() { return Task<T>(std::coroutine_handle<Promise>::from_promise(*this)); }
    void return_value(T result) { value.emplace(std::move(result)); }
    T take() { return std::move(*value); }
};

template <>
struct Promise<void> : PromiseBase {
    Task<void> get_return_object() { return Task<void>(std::coroutine_handle<Promise>::from_promise(*this)); }
    void return_void() {}
    void take() {}
};

}  // namespace hareshore

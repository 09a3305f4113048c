// Coroutines of the event loop. A Task runs when it is awaited; a Routine is a chain of tasks that the
// loop runs by itself and that can be cancelled: the wait it is in then throws Cancelled, and so does
// every later one, so that its stack unwinds in order.
#pragma once
#include <coroutine>
#include <exception>
#include <list>
#include <optional>
#include <utility>

namespace hareshore {

struct Waiter;

struct Cancelled {};

// Urgent routines run before all others that are ready.
enum class Priority : unsigned char { kNormal, kUrgent };

struct SpawnedTask {
    Priority priority = Priority::kNormal;
    Waiter* pending = nullptr;  // the wait that the routine is in
    bool cancelled = false;
    std::list<SpawnedTask*>::iterator place;  // among the routines of its scope
    void cancel();
};

struct PromiseBase {
    std::coroutine_handle<> next;
    SpawnedTask* routine = nullptr;
    std::exception_ptr error;

    std::suspend_always initial_suspend() noexcept { return {}; }
    struct Final {
        bool await_ready() noexcept { return false; }
        template <class P>
        std::coroutine_handle<> await_suspend(std::coroutine_handle<P> h) noexcept {
            auto continuation = h.promise().next;
            return continuation ? continuation : std::noop_coroutine();
        }
        void await_resume() noexcept {}
    };
    Final final_suspend() noexcept { return {}; }
    void unhandled_exception() { error = std::current_exception(); }
};

template <class T>
struct Promise;

template <class T = void>
class [[nodiscard]] Task {
  public:
    using promise_type = Promise<T>;
    using Handle = std::coroutine_handle<promise_type>;

    explicit Task(Handle h) : h_(h) {}
    Task(Task&& other) noexcept : h_(std::exchange(other.h_, {})) {}
    Task(const Task&) = delete;
    Task& operator=(const Task&) = delete;
    Task& operator=(Task&&) = delete;
    ~Task() {
        if (h_) h_.destroy();
    }

    bool await_ready() const noexcept { return false; }
    template <class P>
    std::coroutine_handle<> await_suspend(std::coroutine_handle<P> caller) noexcept {
        h_.promise().next = caller;
        h_.promise().routine = caller.promise().routine;
        return h_;
    }
    T await_resume() {
        if (h_.promise().error) std::rethrow_exception(h_.promise().error);
        return h_.promise().take();
    }

  private:
    Handle h_;
};

template <class T>
struct Promise : PromiseBase {
    std::optional<T> value;
    Task<T> get_return_object() { return Task<T>(std::coroutine_handle<Promise>::from_promise(*this)); }
    void return_value(T v) { value.emplace(std::move(v)); }
    T take() { return std::move(*value); }
};

template <>
struct Promise<void> : PromiseBase {
    Task<void> get_return_object() { return Task<void>(std::coroutine_handle<Promise>::from_promise(*this)); }
    void return_void() {}
    void take() {}
};

}  // namespace hareshore

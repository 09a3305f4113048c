// The state of a leader's term, and the coroutines that run during it.
#pragma once
#include <memory>
#include <optional>

#include "loop/loop.h"

namespace hareshore {

// Owned by the leader. A term begins, then has its records loaded, and is stopped once, possibly before that.
class TermLifecycle {
  public:
    explicit TermLifecycle(Loop& loop) : loop_(loop), loaded_condition_(loop), coroutines_(loop) {}

    // To be called once, before the first spawn(). `leader` owns this object and everything that the
    // coroutines use.
    void begin(std::weak_ptr<void> leader) { leader_ = std::move(leader); }
    // Starts a coroutine that keeps the leader alive until it ends. Has no effect after stop().
    void spawn(Task<void> coroutine, const char* name, Priority priority);
    // Marks the records as loaded; heartbeats get responses from now on.
    void set_loaded() { loaded_at_ = loop_.now(); }
    void notify_loaded() { loaded_condition_.notify(); }
    // Cancels all coroutines, which unwind in the next turns of the loop.
    void stop();

    [[nodiscard]] bool stopped() const { return stopped_; }
    [[nodiscard]] bool loaded() const { return loaded_at_.has_value(); }
    // When the records were loaded. Requires loaded().
    [[nodiscard]] Seconds loaded_at() const { return loaded_at_.value(); }
    // Seconds since the records were loaded; 0 before that.
    [[nodiscard]] Seconds loaded_for() const { return loaded_at_ ? loop_.now() - *loaded_at_ : 0; }
    // Notified when the records are loaded and when the term is stopped.
    Condition& loaded_condition() { return loaded_condition_; }

  private:
    Loop& loop_;
    std::weak_ptr<void> leader_;
    std::optional<Seconds> loaded_at_;
    bool stopped_ = false;
    Condition loaded_condition_;
    TaskGroup coroutines_;
};

}  // namespace hareshore

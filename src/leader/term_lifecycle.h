// How far a leader's term has come, and the coroutines that run in it.
#pragma once
#include <memory>
#include <optional>

#include "loop/loop.h"

namespace hareshore {

// Owned by the leader. A term begins, has loaded the records at some moment, and is stopped once.
class TermLifecycle {
  public:
    explicit TermLifecycle(Loop& loop) : loop_(loop), loaded_condition_(loop), coroutines_(loop) {}

    // To be called once, before the first spawn(). `leader` owns this object and all that the coroutines use.
    void begin(std::weak_ptr<void> leader) { leader_ = std::move(leader); }
    // Starts a coroutine that keeps the leader alive until it has ended. After stop() nothing is started.
    void spawn(Task<void> coroutine, const char* name, Priority priority);
    // The records have been read: heartbeats are answered from now on.
    void set_loaded() { loaded_at_ = loop_.now(); }
    void notify_loaded() { loaded_condition_.notify(); }
    // Cancels all coroutines; they unwind in the loop's next turns.
    void stop();

    [[nodiscard]] bool stopped() const { return stopped_; }
    [[nodiscard]] bool loaded() const { return loaded_at_.has_value(); }
    // When the records had been read; only if loaded().
    [[nodiscard]] Seconds loaded_at() const { return loaded_at_.value(); }
    // Seconds since then; 0 before.
    [[nodiscard]] Seconds loaded_for() const { return loaded_at_ ? loop_.now() - *loaded_at_ : 0; }
    // Notified when the records have been read, and when the term is stopped.
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

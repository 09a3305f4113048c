#include "leader/term_lifecycle.h"

namespace hareshore {

namespace {

// The coroutine frame keeps its reference to `leader` until `coroutine` has ended.
Task<void> keep_alive(std::shared_ptr<void> leader, Task<void> coroutine) {
    (void)leader;
    co_await coroutine;
}

}  // namespace

void TermLifecycle::spawn(Task<void> coroutine, const char* name, Priority priority) {
    coroutines_.spawn(keep_alive(leader_.lock(), std::move(coroutine)), name, priority);
}

void TermLifecycle::stop() {
    stopped_ = true;
    coroutines_.cancel();
    loaded_condition_.notify();
}

}  // namespace hareshore

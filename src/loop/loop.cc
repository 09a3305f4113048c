#include "loop/loop.h"

#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <system_error>

#include "base/constants.h"
#include "base/log.h"

namespace hareshore {

void SpawnedTask::cancel() {
    cancelled = true;
    if (pending) pending->wake(WakeReason::kCancelled);
}

void Waiter::wake(WakeReason why) {
    outcome = why;
    if (slot) *slot = nullptr;
    slot = nullptr;
    if (signal) signal->waiters_.erase(place);
    signal = nullptr;
    if (timed) loop.timers_.erase(timer);
    timed = false;
    if (routine) routine->pending = nullptr;
    loop.post(handle, routine);
}

void Condition::notify() {
    while (!waiters_.empty()) waiters_.front()->wake(WakeReason::kEvent);
}

FileDescriptor::FileDescriptor(Loop& loop, int fd) : loop_(loop), fd_(fd) {
    epoll_event ev{};
    ev.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
    ev.data.fd = fd;
    epoll_ctl(loop.epoll_, EPOLL_CTL_ADD, fd, &ev);
    loop.files_[fd] = this;
}

FileDescriptor::~FileDescriptor() {
    if (reader_) reader_->wake(WakeReason::kEvent);
    if (writer_) writer_->wake(WakeReason::kEvent);
    loop_.files_.erase(fd_);
    close(fd_);
}

namespace {

// The outermost coroutine of a routine; it frees itself.
struct Root {
    struct promise_type {
        SpawnedTask* routine = nullptr;
        Root get_return_object() { return {std::coroutine_handle<promise_type>::from_promise(*this)}; }
        std::suspend_always initial_suspend() noexcept { return {}; }
        std::suspend_never final_suspend() noexcept { return {}; }
        void return_void() {}
        void unhandled_exception() { std::terminate(); }
    };
    std::coroutine_handle<promise_type> handle;
};

template <class State>
Root run_root(Task<void> task, std::string name, std::shared_ptr<State> state,
              std::unique_ptr<SpawnedTask> routine) {
    try {
        if (!routine->cancelled) co_await task;
    } catch (const Cancelled&) {
    } catch (const std::exception& e) {
        log::error("routine_failed", {{"routine", name}, {"error", e.what()}});
    }
    state->routines.erase(routine->place);
}

}  // namespace

void TaskGroup::spawn(Task<void> task, std::string name, Priority priority) {
    if (state_->cancelled) return;
    auto routine = std::make_unique<SpawnedTask>();
    SpawnedTask* raw = routine.get();
    raw->priority = priority;
    raw->place = state_->routines.insert(state_->routines.end(), raw);
    Root root = run_root(std::move(task), std::move(name), state_, std::move(routine));
    root.handle.promise().routine = raw;
    loop_.post(root.handle, raw);
}

void TaskGroup::cancel() {
    state_->cancelled = true;
    for (SpawnedTask* r : state_->routines) r->cancel();
}

Loop::Loop(Clock& clock)
    : clock_(clock), epoll_(epoll_create1(EPOLL_CLOEXEC)), read_buffer_(constants::kReadBufferSize) {
    if (epoll_ < 0) throw std::system_error(errno, std::generic_category(), "epoll_create1");
}

Loop::~Loop() {
    close(epoll_);
}

bool Loop::Await::await_ready() {
    if (!file) return false;
    bool& edge = writing ? file->writable_ : file->readable_;
    return std::exchange(edge, false);
}

void Loop::Await::enter() {
    if (routine && routine->cancelled) {
        outcome = WakeReason::kCancelled;
        loop.post(handle, routine);
        return;
    }
    if (file) {
        slot = writing ? &file->writer_ : &file->reader_;
        *slot = this;
    }
    if (on) {
        signal = on;
        place = on->waiters_.insert(on->waiters_.end(), this);
    }
    if (until >= 0) {
        timer = loop.timers_.emplace(until, this);
        timed = true;
    }
    if (routine) routine->pending = this;
}

WakeReason Loop::Await::await_resume() {
    if (outcome == WakeReason::kCancelled || (routine && routine->cancelled)) throw Cancelled{};
    return outcome;
}

bool Loop::turn(Seconds most) {
    Seconds timeout = most;
    if (any_ready()) {
        timeout = 0;
    } else if (!timers_.empty()) {
        Seconds due = std::max(0.0, timers_.begin()->first - now());
        timeout = most < 0 ? due : std::min(most, due);
    }
    // As many as there are: what is urgent among them must not wait until the others have been worked off.
    epoll_event events[constants::kEventsPerTurn];
    int n = clock_.wait(epoll_, events, constants::kEventsPerTurn, timeout);
    for (int i = 0; i < n; ++i) {
        auto it = files_.find(events[i].data.fd);
        if (it == files_.end()) continue;
        FileDescriptor& f = *it->second;
        uint32_t bits = events[i].events;
        if (bits & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) {
            if (bits & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) f.hung_up_ = true;
            if (f.reader_) {
                f.reader_->wake(WakeReason::kEvent);
            } else {
                f.readable_ = true;
            }
        }
        if (bits & (EPOLLOUT | EPOLLHUP | EPOLLERR)) {
            if (f.writer_) {
                f.writer_->wake(WakeReason::kEvent);
            } else {
                f.writable_ = true;
            }
        }
    }
    Seconds t = now();
    while (!timers_.empty() && timers_.begin()->first <= t)
        timers_.begin()->second->wake(WakeReason::kTimeout);
    size_t ran = resume_ready();
    return n > 0 || ran > 0;
}

// What is woken by what runs is run, too, before epoll is asked again; but not for ever, so that what has
// become urgent meanwhile is not kept waiting by a crowd.
size_t Loop::resume_ready() {
    size_t ran = 0;
    for (; any_ready() && ran < constants::kResumesPerTurn; ++ran) {
        auto& queue = urgent_.empty() ? ready_ : urgent_;
        auto handle = queue.front();
        queue.pop_front();
        handle.resume();
    }
    return ran;
}

void Loop::run() {
    while (!stopped_) turn(-1);
}

}  // namespace hareshore

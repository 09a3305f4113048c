#include "loop/loop.h"

#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <system_error>
#include <utility>

#include "base/constants.h"

namespace hareshore {

void SpawnedTask::cancel() {
    cancelled = true;
    if (current_wait) current_wait->wake(WakeReason::kCancelled);
}

void Waiter::wake(WakeReason reason) {
    outcome = reason;
    if (descriptor_waiter) *descriptor_waiter = nullptr;
    descriptor_waiter = nullptr;
    if (condition) condition->waiters_.erase(condition_position);
    condition = nullptr;
    if (timed) loop.timers_.erase(timer);
    timed = false;
    if (spawned_task) spawned_task->current_wait = nullptr;
    loop.post(handle, spawned_task);
}

void Condition::notify() {
    while (!waiters_.empty()) waiters_.front()->wake(WakeReason::kEvent);
}

FileDescriptor::FileDescriptor(Loop& loop, int fd) : loop_(loop), fd_(fd) {
    epoll_event event{};
    event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
    event.data.fd = fd;
    epoll_ctl(loop.epoll_, EPOLL_CTL_ADD, fd, &event);
    loop.files_[fd] = this;
}

FileDescriptor::~FileDescriptor() {
    if (reader_) reader_->wake(WakeReason::kEvent);
    if (writer_) writer_->wake(WakeReason::kEvent);
    loop_.files_.erase(fd_);
    close(fd_);
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
    bool& edge = direction == Direction::kWrite ? file->writable_ : file->readable_;
    return std::exchange(edge, false);
}

void Loop::Await::enter() {
    if (spawned_task && spawned_task->cancelled) {
        outcome = WakeReason::kCancelled;
        loop.post(handle, spawned_task);
        return;
    }
    if (file) {
        descriptor_waiter = direction == Direction::kWrite ? &file->writer_ : &file->reader_;
        *descriptor_waiter = this;
    }
    if (awaited_condition) {
        condition = awaited_condition;
        condition_position = awaited_condition->waiters_.insert(awaited_condition->waiters_.end(), this);
    }
    if (deadline >= 0) {
        timer = loop.timers_.emplace(deadline, this);
        timed = true;
    }
    if (spawned_task) spawned_task->current_wait = this;
}

WakeReason Loop::Await::await_resume() {
    if (outcome == WakeReason::kCancelled || (spawned_task && spawned_task->cancelled)) throw Cancelled{};
    return outcome;
}

bool Loop::turn(Seconds max_wait) {
    Seconds timeout = max_wait;
    if (any_ready()) {
        timeout = 0;
    } else if (!timers_.empty()) {
        Seconds due = std::max(0.0, timers_.begin()->first - now());
        timeout = max_wait < 0 ? due : std::min(max_wait, due);
    }
    // All pending events are fetched at once, so that urgent ones do not wait until others have been handled.
    epoll_event events[constants::kEventsPerTurn];
    int count = clock_.wait(epoll_, events, constants::kEventsPerTurn, timeout);
    for (int i = 0; i < count; ++i) dispatch(events[i]);
    Seconds time = now();
    while (!timers_.empty() && timers_.begin()->first <= time)
        timers_.begin()->second->wake(WakeReason::kTimeout);
    size_t resumed = resume_ready();
    return count > 0 || resumed > 0;
}

// Edges without a waiter are recorded, as epoll does not report them again.
void Loop::dispatch(const epoll_event& event) {
    auto found = files_.find(event.data.fd);
    if (found == files_.end()) return;
    FileDescriptor& file = *found->second;
    constexpr uint32_t kEnd = EPOLLRDHUP | EPOLLHUP | EPOLLERR;
    if (event.events & (EPOLLIN | kEnd)) {
        if (event.events & kEnd) file.hung_up_ = true;
        if (file.reader_) {
            file.reader_->wake(WakeReason::kEvent);
        } else {
            file.readable_ = true;
        }
    }
    if (event.events & (EPOLLOUT | EPOLLHUP | EPOLLERR)) {
        if (file.writer_) {
            file.writer_->wake(WakeReason::kEvent);
        } else {
            file.writable_ = true;
        }
    }
}

// Also resumes coroutines that become ready during the call, but at most kResumesPerTurn, so that urgent
// events do not wait behind a long queue.
size_t Loop::resume_ready() {
    size_t resumed = 0;
    for (; any_ready() && resumed < constants::kResumesPerTurn; ++resumed) {
        auto& queue = urgent_.empty() ? ready_ : urgent_;
        auto handle = queue.front();
        queue.pop_front();
        handle.resume();
    }
    return resumed;
}

void Loop::run() {
    while (!stopped_) turn(kNoTimeLimit);
}

}  // namespace hareshore

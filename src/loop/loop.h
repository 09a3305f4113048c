// The event loop: epoll, timers, and the routines that wait for them.
#pragma once
#include <sys/epoll.h>

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "base/clock.h"
#include "loop/task.h"

namespace hareshore {

class Loop;
class Condition;

enum class WakeReason { kEvent, kTimeout, kCancelled };

// One wait of one routine: for a file, a signal or a time, whichever comes first.
struct Waiter {
    Loop& loop;
    SpawnedTask* routine = nullptr;
    std::coroutine_handle<> handle;
    WakeReason outcome = WakeReason::kEvent;
    Waiter** slot = nullptr;  // the file's place for its waiter
    Condition* signal = nullptr;
    std::list<Waiter*>::iterator place;
    std::multimap<Seconds, Waiter*>::iterator timer;
    bool timed = false;

    explicit Waiter(Loop& l) : loop(l) {}
    Waiter(const Waiter&) = delete;
    Waiter& operator=(const Waiter&) = delete;
    void wake(WakeReason why);
};

// Routines wait for it; notify() wakes all that wait.
class Condition {
  public:
    explicit Condition(Loop& loop) : loop_(loop) {}
    Condition(const Condition&) = delete;
    Condition& operator=(const Condition&) = delete;
    ~Condition() { notify(); }
    void notify();

  private:
    friend class Loop;
    friend struct Waiter;
    Loop& loop_;
    std::list<Waiter*> waiters_;
};

// A non-blocking file descriptor of the loop, closed with the object.
class FileDescriptor {
  public:
    FileDescriptor(Loop& loop, int fd);
    FileDescriptor(const FileDescriptor&) = delete;
    FileDescriptor& operator=(const FileDescriptor&) = delete;
    ~FileDescriptor();
    int fd() const { return fd_; }
    // Whether epoll has told of bytes, or of the end, that nobody has read yet.
    bool unread() const { return readable_ || hung_up_; }
    // Whether the peer has closed, or the connection broke: reading leads to the end without another event.
    bool hung_up() const { return hung_up_; }

  private:
    friend class Loop;
    Loop& loop_;
    int fd_;
    Waiter* reader_ = nullptr;
    Waiter* writer_ = nullptr;
    bool readable_ = false;  // an edge came while nobody waited
    bool writable_ = false;
    bool hung_up_ = false;
};

// The routines that belong together; cancel() ends them all in order.
class TaskGroup {
  public:
    explicit TaskGroup(Loop& loop) : loop_(loop), state_(std::make_shared<State>()) {}
    TaskGroup(const TaskGroup&) = delete;
    TaskGroup& operator=(const TaskGroup&) = delete;
    ~TaskGroup() { cancel(); }
    // Starts a routine at the next turn of the loop. After cancel() nothing is started.
    void spawn(Task<void> task, std::string name, Priority priority = Priority::kNormal);
    void cancel();
    size_t size() const { return state_->routines.size(); }
    bool cancelled() const { return state_->cancelled; }

  private:
    friend class Loop;
    struct State {
        std::list<SpawnedTask*> routines;
        bool cancelled = false;
    };
    Loop& loop_;
    std::shared_ptr<State> state_;
};

class Loop {
  public:
    explicit Loop(Clock& clock);
    Loop(const Loop&) = delete;
    Loop& operator=(const Loop&) = delete;
    ~Loop();

    Seconds now() const { return clock_.now(); }
    WallTime wall() const { return clock_.wall(); }

    void run();
    bool turn(Seconds most);  // one turn; false if nothing happened
    // For tests: turns until `done` says so or the time is over.
    template <class F>
    bool run_until(F done, Seconds most) {
        Seconds end = now() + most;
        while (!done()) {
            if (now() > end) return false;
            turn(0.05);
        }
        return true;
    }
    void stop() { stopped_ = true; }
    // One buffer for all that read: in the frame of each connection's routine it was most of its memory.
    std::span<char> read_buffer() { return read_buffer_; }

    struct Await : Waiter {
        Seconds until;
        FileDescriptor* file;
        bool writing;
        Condition* on;
        Await(Loop& l, Seconds u, FileDescriptor* f = nullptr, bool w = false, Condition* s = nullptr)
            : Waiter(l), until(u), file(f), writing(w), on(s) {}
        bool await_ready();
        template <class P>
        void await_suspend(std::coroutine_handle<P> h) {
            routine = h.promise().routine;
            handle = h;
            enter();
        }
        WakeReason await_resume();
        void enter();
    };

    // Until a point in time; negative: no limit.
    Await sleep(Seconds s) { return {*this, now() + s}; }
    // Lets all others that are ready go first.
    Await yield() { return sleep(0); }
    Await readable(FileDescriptor& f, Seconds until) { return {*this, until, &f, false}; }
    Await writable(FileDescriptor& f, Seconds until) { return {*this, until, &f, true}; }
    Await wait(Condition& s, Seconds until) { return {*this, until, nullptr, false, &s}; }

  private:
    friend struct Waiter;
    friend class FileDescriptor;
    friend class TaskGroup;
    void post(std::coroutine_handle<> h, const SpawnedTask* of) {
        bool urgent = of && of->priority == Priority::kUrgent;
        (urgent ? urgent_ : ready_).push_back(h);
    }
    bool any_ready() const { return !urgent_.empty() || !ready_.empty(); }
    size_t resume_ready();

    Clock& clock_;
    int epoll_;
    bool stopped_ = false;
    std::deque<std::coroutine_handle<>> urgent_, ready_;
    std::multimap<Seconds, Waiter*> timers_;
    std::map<int, FileDescriptor*> files_;
    std::vector<char> read_buffer_;
};

}  // namespace hareshore

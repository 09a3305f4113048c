// The event loop: epoll, timers, and the coroutines that wait for them. Single-threaded: a loop and its
// objects may be used by one thread only.
#pragma once
#include <sys/epoll.h>

#include <coroutine>
#include <deque>
#include <list>
#include <map>
#include <span>
#include <vector>

#include "base/clock.h"
#include "loop/task.h"
#include "loop/task_group.h"  // re-exported for callers that spawn tasks

namespace hareshore {

class Condition;
class Loop;

// Why a wait ended. Coroutines never receive kCancelled: their wait throws Cancelled instead.
enum class WakeReason { kEvent, kTimeout, kCancelled };

// A deadline or duration without limit.
inline constexpr Seconds kNoTimeLimit = -1;

// One wait of one coroutine for a file descriptor, a condition or a time, whichever comes first. Stored in
// the coroutine's frame.
struct Waiter {
    Loop& loop;
    SpawnedTask* spawned_task = nullptr;
    std::coroutine_handle<> handle;
    WakeReason outcome = WakeReason::kEvent;
    Waiter** descriptor_waiter = nullptr;  // the FileDescriptor's pointer to this; null if there is none
    Condition* condition = nullptr;        // null if there is none
    std::list<Waiter*>::iterator condition_position;  // in the list of its waiters; valid if `condition`
    std::multimap<Seconds, Waiter*>::iterator timer;  // valid if `timed`
    bool timed = false;

    explicit Waiter(Loop& owner) : loop(owner) {}
    Waiter(const Waiter&) = delete;
    Waiter& operator=(const Waiter&) = delete;
    // Ends the wait: the coroutine is resumed in this turn of the loop or a later one.
    void wake(WakeReason reason);
};

// Coroutines wait on it (Loop::wait) until notify() wakes all of them. A notification without waiters has no
// effect.
class Condition {
  public:
    // Waiters run on this loop, which must outlive the condition.
    explicit Condition(Loop& /*loop*/) {}
    Condition(const Condition&) = delete;
    Condition& operator=(const Condition&) = delete;
    ~Condition() { notify(); }
    void notify();

  private:
    friend class Loop;
    friend struct Waiter;
    std::list<Waiter*> waiters_;
};

// Owns a non-blocking file descriptor that is registered with the loop's epoll, edge-triggered. At most one
// coroutine may wait to read and one to write.
class FileDescriptor {
  public:
    // Takes ownership of `fd`. `loop` must outlive this object.
    FileDescriptor(Loop& loop, int fd);
    FileDescriptor(const FileDescriptor&) = delete;
    FileDescriptor& operator=(const FileDescriptor&) = delete;
    ~FileDescriptor();
    [[nodiscard]] int fd() const { return fd_; }
    // Whether epoll has reported bytes or the end of the stream that have not been read yet.
    [[nodiscard]] bool unread() const { return readable_ || hung_up_; }
    // Whether the peer closed its side or the connection failed. Reading then reaches the end without a
    // further event.
    [[nodiscard]] bool hung_up() const { return hung_up_; }

  private:
    friend class Loop;
    Loop& loop_;
    int fd_;
    Waiter* reader_ = nullptr;
    Waiter* writer_ = nullptr;
    bool readable_ = false;  // a readable edge occurred without a waiting reader
    bool writable_ = false;  // a writable edge occurred without a waiting writer
    bool hung_up_ = false;
};

class Loop {
  public:
    // `clock` must outlive the loop. Throws std::system_error.
    explicit Loop(Clock& clock);
    Loop(const Loop&) = delete;
    Loop& operator=(const Loop&) = delete;
    ~Loop();

    [[nodiscard]] Seconds now() const { return clock_.now(); }
    [[nodiscard]] WallTime wall() const { return clock_.wall(); }

    // Runs turns until stop() is called.
    void run();
    // Ends run() after the current turn.
    void stop() { stopped_ = true; }
    // Runs one turn: waits up to `max_wait` seconds (or kNoTimeLimit) for events and timers, and resumes
    // ready coroutines. Returns false if nothing happened.
    bool turn(Seconds max_wait);
    // For tests: runs turns until `done()` is true. Returns false if that takes more than `timeout` seconds.
    template <class Predicate>
    bool run_until(Predicate done, Seconds timeout) {
        Seconds end = now() + timeout;
        while (!done()) {
            if (now() > end) return false;
            turn(0.05);
        }
        return true;
    }

    // One buffer shared by all readers, which must consume its content before they wait. A buffer in each
    // connection's coroutine frame took most of the memory of a connection.
    [[nodiscard]] std::span<char> read_buffer() { return read_buffer_; }

    // Awaitable that suspends the coroutine; its result is the reason why the wait ended. Throws Cancelled.
    struct Await : Waiter {
        enum class Direction : uint8_t { kRead, kWrite };

        Seconds deadline;
        FileDescriptor* file = nullptr;
        Direction direction = Direction::kRead;
        Condition* awaited_condition = nullptr;

        Await(Loop& owner, Seconds end) : Waiter(owner), deadline(end) {}
        Await(Loop& owner, Seconds end, FileDescriptor& awaited_file, Direction awaited_direction)
            : Waiter(owner), deadline(end), file(&awaited_file), direction(awaited_direction) {}
        Await(Loop& owner, Seconds end, Condition& notified)
            : Waiter(owner), deadline(end), awaited_condition(&notified) {}
        bool await_ready();
        template <class P>
        void await_suspend(std::coroutine_handle<P> suspended) {
            spawned_task = suspended.promise().spawned_task;
            handle = suspended;
            enter();
        }
        WakeReason await_resume();
        void enter();
    };

    // Waits for `duration` seconds.
    Await sleep(Seconds duration) { return {*this, now() + duration}; }
    // Lets all other ready coroutines run first.
    Await yield() { return sleep(0); }
    // Each waits until the point in time `deadline` at the latest (kNoTimeLimit: without limit).
    Await readable(FileDescriptor& file, Seconds deadline) {
        return {*this, deadline, file, Await::Direction::kRead};
    }
    Await writable(FileDescriptor& file, Seconds deadline) {
        return {*this, deadline, file, Await::Direction::kWrite};
    }
    Await wait(Condition& condition, Seconds deadline) { return {*this, deadline, condition}; }

  private:
    friend struct Waiter;
    friend class FileDescriptor;
    friend class TaskGroup;

    // Queues the coroutine for resumption.
    void post(std::coroutine_handle<> handle, const SpawnedTask* task) {
        bool urgent = task && task->priority == Priority::kUrgent;
        (urgent ? urgent_ : ready_).push_back(handle);
    }
    [[nodiscard]] bool any_ready() const { return !urgent_.empty() || !ready_.empty(); }
    void dispatch(const epoll_event& event);
    size_t resume_ready();

    Clock& clock_;
    int epoll_;
    bool stopped_ = false;
    std::deque<std::coroutine_handle<>> urgent_;  // ready to be resumed, before those in ready_
    std::deque<std::coroutine_handle<>> ready_;   // ready to be resumed
    std::multimap<Seconds, Waiter*> timers_;      // by deadline
    std::map<int, FileDescriptor*> files_;        // by descriptor
    std::vector<char> read_buffer_;
};

}  // namespace hareshore

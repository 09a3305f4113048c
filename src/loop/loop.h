// The event loop: epoll, timers, and the coroutines that wait for them. One thread runs a loop; nothing of it
// may be used from another.
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
#include "loop/task_group.h"  // for those that spawn tasks

namespace hareshore {

class Condition;
class Loop;

// What ended a wait. Coroutines never see kCancelled: their wait throws Cancelled.
enum class WakeReason { kEvent, kTimeout, kCancelled };

// For deadlines and durations: none.
inline constexpr Seconds kNoTimeLimit = -1;

// One wait of one coroutine: for a file descriptor, a condition or a time, whichever comes first. It lives in
// the coroutine's frame.
struct Waiter {
    Loop& loop;
    SpawnedTask* spawned_task = nullptr;
    std::coroutine_handle<> handle;
    WakeReason outcome = WakeReason::kEvent;
    Waiter** slot = nullptr;             // the file descriptor's place for its waiter; null if there is none
    Condition* condition = nullptr;      // null if there is none
    std::list<Waiter*>::iterator place;  // among the condition's waiters
    std::multimap<Seconds, Waiter*>::iterator timer;  // valid if `timed`
    bool timed = false;

    explicit Waiter(Loop& on) : loop(on) {}
    Waiter(const Waiter&) = delete;
    Waiter& operator=(const Waiter&) = delete;
    // Ends the wait: the coroutine is resumed in this turn of the loop or a later one.
    void wake(WakeReason why);
};

// Coroutines wait for it (Loop::wait) until another calls notify(), which wakes all that wait. Nothing is
// remembered for later waits.
class Condition {
  public:
    // Its waiters run on this loop, which must outlive the condition.
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

// A non-blocking file descriptor that is registered with the loop's epoll, edge-triggered. Owns and closes
// it. At most one coroutine may wait to read and one to write.
class FileDescriptor {
  public:
    // Takes over `fd`. `loop` must outlive this object.
    FileDescriptor(Loop& loop, int fd);
    FileDescriptor(const FileDescriptor&) = delete;
    FileDescriptor& operator=(const FileDescriptor&) = delete;
    ~FileDescriptor();
    [[nodiscard]] int fd() const { return fd_; }
    // Whether epoll has reported bytes, or the end, that nobody has read yet.
    [[nodiscard]] bool unread() const { return readable_ || hung_up_; }
    // Whether the peer has closed, or the connection broke: reading leads to the end without another event.
    [[nodiscard]] bool hung_up() const { return hung_up_; }

  private:
    friend class Loop;
    Loop& loop_;
    int fd_;
    Waiter* reader_ = nullptr;
    Waiter* writer_ = nullptr;
    bool readable_ = false;  // an edge came while nobody waited to read
    bool writable_ = false;  // an edge came while nobody waited to write
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

    // Turns until stop() is called.
    void run();
    // Ends run() after the current turn.
    void stop() { stopped_ = true; }
    // Waits up to `most` seconds (kNoTimeLimit: any time) for events and timers, and resumes coroutines that
    // are ready. False if nothing happened.
    bool turn(Seconds most);
    // For tests: turns until `done()` is true; false if `most` seconds are over before.
    template <class Predicate>
    bool run_until(Predicate done, Seconds most) {
        Seconds end = now() + most;
        while (!done()) {
            if (now() > end) return false;
            turn(0.05);
        }
        return true;
    }

    // One buffer for all that read, to be used up before the reader waits: in the frame of each connection's
    // coroutine it was most of its memory.
    [[nodiscard]] std::span<char> read_buffer() { return read_buffer_; }

    // Awaited, suspends the coroutine; its result says what ended the wait. Throws Cancelled.
    struct Await : Waiter {
        enum class Direction : uint8_t { kRead, kWrite };

        Seconds until;
        FileDescriptor* file = nullptr;
        Direction direction = Direction::kRead;
        Condition* on = nullptr;

        Await(Loop& owner, Seconds deadline) : Waiter(owner), until(deadline) {}
        Await(Loop& owner, Seconds deadline, FileDescriptor& ready, Direction way)
            : Waiter(owner), until(deadline), file(&ready), direction(way) {}
        Await(Loop& owner, Seconds deadline, Condition& notified)
            : Waiter(owner), until(deadline), on(&notified) {}
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
    // Lets all others that are ready run first.
    Await yield() { return sleep(0); }
    // Each waits until the point in time `until` at the latest, or kNoTimeLimit.
    Await readable(FileDescriptor& file, Seconds until) {
        return {*this, until, file, Await::Direction::kRead};
    }
    Await writable(FileDescriptor& file, Seconds until) {
        return {*this, until, file, Await::Direction::kWrite};
    }
    Await wait(Condition& condition, Seconds until) { return {*this, until, condition}; }

  private:
    friend struct Waiter;
    friend class FileDescriptor;
    friend class TaskGroup;

    // Has the coroutine resumed when its turn comes.
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
    std::deque<std::coroutine_handle<>> urgent_;  // to be resumed first
    std::deque<std::coroutine_handle<>> ready_;   // to be resumed
    std::multimap<Seconds, Waiter*> timers_;      // by the time at which the wait ends
    std::map<int, FileDescriptor*> files_;        // by descriptor
    std::vector<char> read_buffer_;
};

}  // namespace hareshore

// The event loop: scheduling order and cancellation of coroutines.
#include "loop/loop.h"

#include <gtest/gtest.h>

#include "base/clock.h"
#include "base/constants.h"

using namespace hareshore;

namespace {

constexpr size_t kTaskCount = 4000;

Task<void> count_completion(size_t& completed) {
    ++completed;
    co_return;
}

// Waits for `condition` and stores how many other tasks were completed by then.
Task<void> record_completed(Loop& loop, Condition& condition, const size_t& completed, size_t& recorded) {
    co_await loop.wait(condition, -1);
    recorded = completed;
}

}  // namespace

// Simultaneous heartbeats of all workers make thousands of tasks ready. If the renewal of the leader's lease
// waits behind them on a small share of a core, the lease expires, another controller becomes leader, and all
// workers send heartbeats again.
TEST(Loop, UrgentTasksRunBeforeOtherReadyTasks) {
    for (Priority priority : {Priority::kUrgent, Priority::kNormal}) {
        FakeClock clock;
        Loop loop(clock);
        Condition condition(loop);
        TaskGroup tasks(loop);
        size_t completed = 0;
        size_t recorded = SIZE_MAX;
        tasks.spawn(record_completed(loop, condition, completed, recorded), "renewal", priority);
        loop.turn(0);
        for (size_t i = 0; i < kTaskCount; ++i) tasks.spawn(count_completion(completed), "heartbeat");
        loop.turn(0);
        condition.notify();
        ASSERT_TRUE(loop.run_until([&] { return completed == kTaskCount && recorded != SIZE_MAX; }, 1));
        if (priority == Priority::kUrgent) {
            EXPECT_LE(recorded, constants::kResumesPerTurn);
        } else {
            EXPECT_EQ(recorded, kTaskCount);
        }
    }
}

// epoll must also be polled between ready tasks, as new events may be urgent.
TEST(Loop, PollsForEventsBetweenReadyTasks) {
    FakeClock clock;
    Loop loop(clock);
    TaskGroup tasks(loop);
    size_t completed = 0;
    for (size_t i = 0; i < kTaskCount; ++i) tasks.spawn(count_completion(completed), "heartbeat");
    loop.turn(0);
    EXPECT_LE(completed, constants::kResumesPerTurn);
    EXPECT_GT(completed, 0U);
    ASSERT_TRUE(loop.run_until([&] { return completed == kTaskCount; }, 1));
}

// Cancellation unwinds a task at its current wait and destroys its objects in order.
TEST(Loop, CancelUnwindsNestedTasks) {
    FakeClock clock;
    Loop loop(clock);
    int unwound = 0;
    struct CountOnDestruction {
        int& count;
        ~CountOnDestruction() { ++count; }
    };
    struct Coroutines {
        static Task<int> inner(Loop& event_loop, int& count) {
            CountOnDestruction guard{count};
            co_await event_loop.sleep(1000);
            co_return 1;
        }
        static Task<void> outer(Loop& event_loop, int& count) {
            CountOnDestruction guard{count};
            co_await inner(event_loop, count);
            ADD_FAILURE() << "continued after cancellation";
        }
    };
    TaskGroup tasks(loop);
    tasks.spawn(Coroutines::outer(loop, unwound), "outer");
    loop.run_until([] { return false; }, 1);
    EXPECT_EQ(unwound, 0);
    tasks.cancel();
    loop.run_until([&] { return tasks.size() == 0; }, 1);
    EXPECT_EQ(unwound, 2);
}

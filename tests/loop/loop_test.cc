// The event loop's order of work, and the end of its routines.
#include "loop/loop.h"

#include <gtest/gtest.h>

#include "base/clock.h"
#include "base/constants.h"

using namespace hareshore;

namespace {

constexpr size_t kCrowd = 4000;

Task<void> work_off(size_t& done) {
    ++done;
    co_return;
}

Task<void> note_when(Loop& loop, Condition& signal, const size_t& others, size_t& seen) {
    co_await loop.wait(signal, -1);
    seen = others;
}

}  // namespace

// A fleet that reports all at once makes thousands of routines ready. The renewal of the leadership waited
// until all of them had had their turn: on a small share of a core the lease ended meanwhile, another
// controller led, and the whole fleet reported anew.
TEST(Loop, UrgentRoutinesGoBeforeACrowd) {
    for (Priority priority : {Priority::kUrgent, Priority::kNormal}) {
        FakeClock clock;
        Loop loop(clock);
        Condition signal(loop);
        TaskGroup scope(loop);
        size_t done = 0;
        size_t seen = SIZE_MAX;
        scope.spawn(note_when(loop, signal, done, seen), "renewal", priority);
        loop.turn(0);
        for (size_t i = 0; i < kCrowd; ++i) scope.spawn(work_off(done), "report");
        loop.turn(0);
        signal.notify();
        ASSERT_TRUE(loop.run_until([&] { return done == kCrowd && seen != SIZE_MAX; }, 1));
        if (priority == Priority::kUrgent) {
            EXPECT_LE(seen, constants::kResumesPerTurn);
        } else {
            EXPECT_EQ(seen, kCrowd);
        }
    }
}

// Nor is epoll asked only after the whole crowd: what comes meanwhile may be urgent.
TEST(Loop, LooksForEventsWhileACrowdIsWorkedOff) {
    FakeClock clock;
    Loop loop(clock);
    TaskGroup scope(loop);
    size_t done = 0;
    for (size_t i = 0; i < kCrowd; ++i) scope.spawn(work_off(done), "report");
    loop.turn(0);
    EXPECT_LE(done, constants::kResumesPerTurn);
    EXPECT_GT(done, 0U);
    ASSERT_TRUE(loop.run_until([&] { return done == kCrowd; }, 1));
}

// Cancelling unwinds a routine wherever it waits, and its objects are destroyed in order.
TEST(Loop, CancelUnwindsNestedRoutines) {
    FakeClock clock;
    Loop loop(clock);
    int unwound = 0;
    struct Mark {
        int& n;
        ~Mark() { ++n; }
    };
    struct Run {
        static Task<int> inner(Loop& l, int& n) {
            Mark m{n};
            co_await l.sleep(1000);
            co_return 1;
        }
        static Task<void> outer(Loop& l, int& n) {
            Mark m{n};
            co_await inner(l, n);
            ADD_FAILURE() << "went on after cancel";
        }
    };
    TaskGroup scope(loop);
    scope.spawn(Run::outer(loop, unwound), "outer");
    loop.run_until([] { return false; }, 1);
    EXPECT_EQ(unwound, 0);
    scope.cancel();
    loop.run_until([&] { return scope.size() == 0; }, 1);
    EXPECT_EQ(unwound, 2);
}

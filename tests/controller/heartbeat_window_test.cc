#include "controller/heartbeat_window.h"

#include <gtest/gtest.h>

using namespace hareshore;

TEST(HeartbeatWindow, CountsHeartbeatsWithinWindow) {
    HeartbeatWindow window;
    EXPECT_EQ(window.count(100), 0u);
    EXPECT_FALSE(window.last());
    window.record(100);
    window.record(103);
    EXPECT_EQ(window.count(104), 2u);
    EXPECT_EQ(window.count(105), 1u);
    EXPECT_EQ(window.count(108), 0u);
    EXPECT_EQ(window.last(), 103);
}

TEST(HeartbeatWindow, BoundsStoredTimes) {
    HeartbeatWindow window;
    for (int i = 0; i < 10'100; ++i) window.record(100);
    EXPECT_EQ(window.count(100), 10'000u);
}

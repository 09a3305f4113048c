// The token bucket for rate limits.
#include "base/token_bucket.h"

#include <gtest/gtest.h>

using namespace hareshore;

TEST(TokenBucket, AllowsBurstAndRate) {
    TokenBucket bucket(10, 5);
    EXPECT_TRUE(bucket.take(5, 1.0));
    EXPECT_FALSE(bucket.take(1, 1.0));
    EXPECT_NEAR(bucket.wait_time(1, 1.0), 0.1, 1e-9);
    EXPECT_TRUE(bucket.take(1, 1.11));
}

// Rounding errors once left a wait time too short to advance the clock, so that a caller waiting for two
// tokens looped forever.
TEST(TokenBucket, WaitTimeAlwaysAdvancesTheClock) {
    TokenBucket bucket(11.25, 2);
    Seconds now = 1000.1;
    for (int i = 0; i < 100'000; ++i) {
        Seconds wait = bucket.wait_time(2, now);
        ASSERT_TRUE(wait == 0 || now + wait > now) << i;
        now += wait;
        if (wait == 0) {
            ASSERT_TRUE(bucket.take(2, now)) << "wait_time() was 0, but the tokens are not available";
        }
        now += (i % 7) * 0.013;
    }
}

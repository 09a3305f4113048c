// Rate limits.
#include "base/token_bucket.h"

#include <gtest/gtest.h>

using namespace hareshore;

TEST(TokenBucket, GivesTheRateAndTheBurst) {
    TokenBucket bucket(10, 5);
    EXPECT_TRUE(bucket.take(5, 1.0));
    EXPECT_FALSE(bucket.take(1, 1.0));
    EXPECT_NEAR(bucket.until(1, 1.0), 0.1, 1e-9);
    EXPECT_TRUE(bucket.take(1, 1.11));
}

// Rounding left a wait too short to move the clock: whoever waited for two changes spun for ever.
TEST(TokenBucket, NeverWaitsForLessThanTheClockTells) {
    TokenBucket bucket(11.25, 2);
    Seconds now = 1000.1;
    for (int i = 0; i < 100'000; ++i) {
        Seconds wait = bucket.until(2, now);
        ASSERT_TRUE(wait == 0 || now + wait > now) << i;
        now += wait;
        if (wait == 0) {
            ASSERT_TRUE(bucket.take(2, now)) << "what need not be waited for is there";
        }
        now += (i % 7) * 0.013;
    }
}

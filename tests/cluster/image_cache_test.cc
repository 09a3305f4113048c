// The images that a machine is taken to hold.
#include "cluster/image_cache.h"

#include <gtest/gtest.h>

using namespace hareshore;

TEST(ImageCache, DropsTheLeastRecentlyUsed) {
    ImageCache c(10);
    c.use("a", 4);
    c.use("b", 4);
    c.use("a", 4);
    c.use("c", 4);
    EXPECT_TRUE(c.has("a"));
    EXPECT_FALSE(c.has("b"));
    EXPECT_TRUE(c.has("c"));
}

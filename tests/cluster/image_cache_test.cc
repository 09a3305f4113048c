// The leader's model of a machine's image cache.
#include "cluster/image_cache.h"

#include <gtest/gtest.h>

using namespace hareshore;

TEST(ImageCache, EvictsLeastRecentlyUsedImage) {
    ImageCache cache(10);
    cache.use("a", 4);
    cache.use("b", 4);
    cache.use("a", 4);
    cache.use("c", 4);
    EXPECT_TRUE(cache.has("a"));
    EXPECT_FALSE(cache.has("b"));
    EXPECT_TRUE(cache.has("c"));
}

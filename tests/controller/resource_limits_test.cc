#include "controller/resource_limits.h"

#include <gtest/gtest.h>

using namespace hareshore;

TEST(ResourceLimits, ReserveSocketsForOutgoingCalls) {
    Config config;
    config.sockets = 1000;
    EXPECT_EQ(connection_limit(config), 846u);
}

TEST(ResourceLimits, ResponseLimitScalesWithMemory) {
    constexpr size_t kMebibyte = size_t{1024} * 1024;
    Config config;
    EXPECT_EQ(response_limit(config), 8 * kMebibyte) << "default if the memory size is unknown";
    config.ram_bytes = 64 * kMebibyte;
    EXPECT_EQ(response_limit(config), 4 * kMebibyte);
    config.ram_bytes = 8 * kMebibyte;
    EXPECT_EQ(response_limit(config), kMebibyte);
    config.ram_bytes = 1024 * kMebibyte;
    EXPECT_EQ(response_limit(config), 8 * kMebibyte);
}

#include "controller/zone_partition.h"

#include <gtest/gtest.h>

using namespace hareshore;

TEST(ZonePartition, RequiresTwoWorkersOfSameZone) {
    ZonePartitionDetector detector;
    detector.record_failed_redirect("zone-a", "vm-1", 100);
    detector.record_failed_redirect("zone-a", "vm-1", 101);
    detector.record_failed_redirect("zone-b", "vm-2", 101);
    EXPECT_FALSE(detector.is_partitioned("zone-a", 101)) << "a worker counts once";
    detector.record_failed_redirect("zone-a", "vm-3", 102);
    EXPECT_TRUE(detector.is_partitioned("zone-a", 102));
    EXPECT_FALSE(detector.is_partitioned("zone-b", 102));
    EXPECT_FALSE(detector.is_partitioned("zone-c", 102));
}

TEST(ZonePartition, EndsWhenFailedRedirectsExpire) {
    ZonePartitionDetector detector;
    detector.record_failed_redirect("zone-a", "vm-1", 100);
    detector.record_failed_redirect("zone-a", "vm-2", 110);
    EXPECT_TRUE(detector.is_partitioned("zone-a", 125));
    EXPECT_FALSE(detector.is_partitioned("zone-a", 125.1));
    detector.record_failed_redirect("zone-a", "vm-3", 126);
    EXPECT_TRUE(detector.is_partitioned("zone-a", 126)) << "together with vm-2 at 110";
}

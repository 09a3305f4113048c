#include "controller/zone_partition.h"

#include <gtest/gtest.h>

using namespace hareshore;

TEST(ZonePartition, NeedsTwoWorkersOfTheSameZone) {
    ZonePartitionDetector detector;
    detector.record_returned_worker("zone-a", "vm-1", 100);
    detector.record_returned_worker("zone-a", "vm-1", 101);
    detector.record_returned_worker("zone-b", "vm-2", 101);
    EXPECT_FALSE(detector.is_partitioned("zone-a", 101)) << "one worker twice is one worker";
    detector.record_returned_worker("zone-a", "vm-3", 102);
    EXPECT_TRUE(detector.is_partitioned("zone-a", 102));
    EXPECT_FALSE(detector.is_partitioned("zone-b", 102));
    EXPECT_FALSE(detector.is_partitioned("zone-c", 102));
}

TEST(ZonePartition, EndsWhenTheWorkersNoLongerReturn) {
    ZonePartitionDetector detector;
    detector.record_returned_worker("zone-a", "vm-1", 100);
    detector.record_returned_worker("zone-a", "vm-2", 110);
    EXPECT_TRUE(detector.is_partitioned("zone-a", 125));
    EXPECT_FALSE(detector.is_partitioned("zone-a", 125.1));
    detector.record_returned_worker("zone-a", "vm-3", 126);
    EXPECT_TRUE(detector.is_partitioned("zone-a", 126)) << "with the one of 110";
}

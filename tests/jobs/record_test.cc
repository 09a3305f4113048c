// Packing and unpacking of a job's record.
#include "jobs/record.h"

#include <gtest/gtest.h>

using namespace hareshore;

TEST(Record, RoundTripsThroughPacking) {
    JobRecord record;
    record.spec.id = "job-1";
    record.spec.kind = JobKind::kGang;
    record.spec.tasks = 100;
    record.spec.due_s = 30;
    record.spec.machine_types = {"g2"};
    record.done = Ranges::whole(3);
    record.next_attempt = 9;
    record.live[5] = {8, "vm-000003", "zone a"};
    record.live[6] = {8, "vm-000004", "b"};
    auto unpacked = JobRecord::unpack(record.pack(1));
    ASSERT_TRUE(unpacked);
    EXPECT_EQ(unpacked->spec, record.spec);
    EXPECT_EQ(unpacked->done, record.done);
    EXPECT_EQ(unpacked->live.at(5).machine, "vm-000003");
    EXPECT_EQ(unpacked->live.at(5).zone, "zone a");
    EXPECT_EQ(unpacked->next_attempt, 9U);
}

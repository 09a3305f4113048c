// Packing and unpacking of a job's record.
#include "jobs/record.h"

#include <gtest/gtest.h>

#include "http/json_size.h"

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

// Earlier versions neither write the time of a cancellation nor need it, and a record may lack the room.
TEST(Record, TimeOfCancellationIsOptional) {
    JobRecord record;
    record.spec.id = "job-1";
    record.spec.tasks = 1;
    record.live[0] = {8, "vm-000003", "a"};
    record.cancelled = true;
    for (uint64_t format : {1, 2}) {
        SCOPED_TRACE(format);
        record.cancelled_wall.reset();
        const std::string without_time = record.pack(format);
        EXPECT_FALSE(JobRecord::unpack(without_time)->cancelled_wall);
        record.cancelled_wall = WallTime{1764843281.5};
        const std::string with_time = record.pack(format);
        EXPECT_EQ(JobRecord::unpack(with_time)->cancelled_wall, WallTime{1764843281.5});
        EXPECT_TRUE(JobRecord::unpack(with_time)->cancelled);
        EXPECT_EQ(record.pack_within(json_size(with_time), format), with_time);
        EXPECT_EQ(record.pack_within(json_size(with_time) - 1, format), without_time);
        EXPECT_EQ(record.pack_within(json_size(without_time), format), without_time);
        EXPECT_FALSE(record.pack_within(json_size(without_time) - 1, format));
    }
}

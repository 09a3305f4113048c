// A job's record in the store.
#include "jobs/record.h"

#include <gtest/gtest.h>

using namespace hareshore;

TEST(Record, SurvivesPacking) {
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
    auto again = JobRecord::unpack(record.pack(1));
    ASSERT_TRUE(again);
    EXPECT_EQ(again->spec, record.spec);
    EXPECT_EQ(again->done, record.done);
    EXPECT_EQ(again->live.at(5).machine, "vm-000003");
    EXPECT_EQ(again->live.at(5).zone, "zone a");
    EXPECT_EQ(again->next_attempt, 9U);
}

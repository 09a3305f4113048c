// The records of large gangs: what is accepted must fit its record once it is placed.
#include <gtest/gtest.h>

#include "base/constants.h"
#include "standins/scheduling_fixture.h"
#include "users/submission_check.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

constexpr uint32_t kNumberStride = 313;  // between the numbers of machines that are up at the same time
constexpr uint32_t kMinLargestGang = 1000;
constexpr uint32_t kMaxLargestGang = 5000;

struct GangRecord : SchedulingTest {
    GangRecord() {
        config.teams[0].gpus_max = 0;
        record_format.stored = kNewestRecordFormat;
    }

    // A gang whose tasks take a machine each.
    static JobSpec gang_spec(uint32_t tasks) {
        JobSpec spec = job_spec("job-000412", tasks, JobKind::kGang);
        spec.gpus = 2;
        return spec;
    }

    bool accepted(uint32_t tasks) {
        JobRecord record;
        record.spec = gang_spec(tasks);
        return !check_record_size(record, config, record_format);
    }

    uint32_t largest_accepted() {
        uint32_t tasks = kMinLargestGang;
        while (tasks < kMaxLargestGang && accepted(tasks + 1)) ++tasks;
        return tasks;
    }

    RecordFormat record_format;
};

}  // namespace

// Guards against a large gang that is accepted and never runs since its record cannot hold its placements.
// The machines differ in zone, image and time of the last heartbeat, which determine the order in which they
// are selected.
TEST_F(GangRecord, LargestAcceptedGangIsPlaced) {
    const uint32_t tasks = largest_accepted();
    ASSERT_LT(tasks, kMaxLargestGang);
    Job& gang = add_job(gang_spec(tasks));
    for (uint32_t i = 0; i < tasks; ++i) {
        char name[16];
        std::snprintf(name, sizeof name, "vm-%06u", kNumberStride * i);
        Machine& machine = add_machine(name, i % 3 == 0 ? "a" : "b");
        if (i % 7 < 3) machine.cache.use(gang.spec.image, gang.spec.image_gb);
        machine.heartbeat_awaits_response = i % 5 == 0;
    }
    EXPECT_EQ(schedule_for({}).size(), tasks);
    EXPECT_LE(gang.record_bytes(kNewestRecordFormat), config.value_limit(kNewestRecordFormat));
}

// Guards against a record that is within the limit of a value and never written, since no transaction can
// hold it.
TEST_F(GangRecord, RecordFitsIntoOneTransaction) {
    config.value_bytes = 2 * constants::kBodyLimit;
    for (uint64_t format = 1; format <= kNewestRecordFormat; ++format)
        EXPECT_LE(config.value_limit(format), constants::kTransactionBytes);
}

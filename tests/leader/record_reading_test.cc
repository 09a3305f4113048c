// Reading the records from the store.
#include <gtest/gtest.h>

#include "fleet/cancelled_tasks.h"
#include "standins/records.h"
#include "state/store_wire.h"

using namespace hareshore;
using namespace hareshore::test;

// The store has compacted the changes that a watch requests. The leader must read all records again, page by
// page, and miss neither a new job nor a cancellation.
TEST(RecordReading, RereadsAllRecordsAfterCompaction) {
    Deployment deployment(2);
    ASSERT_TRUE(deployment.start_and_elect());
    int leader = deployment.leader();
    deployment.run(1);
    deployment.store.list_page_size = 2;
    deployment.store.compacted_revision = 1000;
    for (int i = 1; i <= 5; ++i)
        ASSERT_EQ(
            deployment.call(1 - leader, "POST", "/v2/runs", job_body("job-" + std::to_string(i))).status,
            201);
    ASSERT_EQ(deployment.call(1 - leader, "POST", "/v2/runs/job-5/withdraw").status, 200);
    deployment.run(5);
    const auto& jobs = deployment.node(leader).leader()->jobs();
    EXPECT_EQ(jobs.size(), 4U) << "the cancelled job must have its final record only";
    for (int i = 1; i <= 4; ++i) EXPECT_TRUE(jobs.find("job-" + std::to_string(i)));
    EXPECT_TRUE(deployment.store.rows.contains("f/job-5"));
}

// A watch response has no size limit. If it exceeds the limit of the leader's client, the leader must read
// the records page by page instead of repeating the same watch forever.
TEST(RecordReading, ReadsPagesAfterOversizedWatchResponse) {
    Deployment deployment;
    deployment.configs[0].ram_bytes = 8 * 1024 * 1024;
    deployment.store.list_page_size = 50;
    deployment.start(0);
    ASSERT_TRUE(deployment.run_until([&] { return deployment.leader() == 0; }));
    deployment.run(1);
    deployment.store.down = true;  // so that the open watch gets all changes in one response
    for (int i = 0; i < 300; ++i) {
        JobRecord record;
        record.spec.id = "job-" + std::to_string(i);
        record.spec.team = "team";
        record.spec.tasks = 1;
        record.spec.image = std::string(5000, 'x');
        Transaction transaction;
        transaction.expect_absent(live_key(record.spec.id)).put(live_key(record.spec.id), record.pack(1));
        ASSERT_EQ(deployment.store.apply(encode_transaction(transaction)).status, 200);
    }
    deployment.store.down = false;
    deployment.run(10);
    EXPECT_EQ(deployment.node(0).leader()->jobs().size(), 300U);
}

// A leader of an earlier version drops the time of a cancellation. The next leader assumes that it is old,
// and records that for the leaders after it, so that none of them counts from its own beginning.
TEST(RecordReading, MissingTimeOfCancellationCountsAsOld) {
    Deployment deployment(2);
    JobRecord record;
    record.spec.id = "job-1";
    record.spec.team = "team";
    record.spec.tasks = 1;
    record.cancelled = true;
    record.live[0] = {4, "vm-000009", "a"};
    store_record(deployment, record);
    ASSERT_TRUE(deployment.start_and_elect());
    const int first_leader = deployment.leader();
    const Seconds assumed =
        deployment.loop.wall().since_epoch - assumed_cancellation_age(deployment.configs[0]);
    deployment.run(3);
    auto stored = stored_record(deployment, "job-1").cancelled_wall;
    ASSERT_TRUE(stored);
    EXPECT_NEAR(stored->since_epoch, assumed, 1);
    EXPECT_TRUE(deployment.cloud.deleted.empty()) << "its worker has had no time for a heartbeat";
    deployment.kill(first_leader);
    ASSERT_TRUE(deployment.run_until([&] { return deployment.leader() == 1 - first_leader; }, 15));
    deployment.run(2);
    EXPECT_EQ(stored_record(deployment, "job-1").cancelled_wall, stored);
    deployment.run(4);
    EXPECT_EQ(deployment.cloud.deleted, std::vector<std::string>{"vm-000009"});
}

// Upgrades from the production version and the store's lower limits: which record format is written when,
// that every transaction fits the limits, and that no task is lost.
#include <gtest/gtest.h>

#include "standins/lower_limits.h"
#include "standins/production_records.h"
#include "standins/records.h"

using namespace hareshore;
using namespace hareshore::test;

// Until every peer is known to run this version, records are written in the format that the production
// version reads.
TEST(Upgrade, WritesFormat1WhileAPeerMayRunTheOldVersion) {
    Deployment deployment(2);
    deployment.start(0);
    ASSERT_TRUE(deployment.run_until([&] { return deployment.leader() == 0; }));
    deployment.run(10);
    EXPECT_EQ(deployment.store.rows.count("form"), 0U);
    ASSERT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-1")).status, 201);
    EXPECT_EQ(stored_format(deployment, "job-1"), 1U);
    FakeWorker worker;
    deployment.register_worker(worker);
    deployment.send_heartbeat(worker, 0);
    ASSERT_TRUE(worker.find("job-1/0"));
    EXPECT_EQ(stored_format(deployment, "job-1"), 1U);
    EXPECT_TRUE(MsgpackDocument::parse(deployment.store.rows.at("j/job-1").data)->root()["live"].is_list());
    // The peer runs this version: format 2 is in force for both, and each change is written in it.
    deployment.start(1);
    ASSERT_TRUE(deployment.run_until([&] { return deployment.store.rows.count("form") == 1; }));
    deployment.run(3);
    ASSERT_EQ(deployment.leader(), 0);
    EXPECT_EQ(stored_format(deployment, "job-1"), 1U);
    ASSERT_EQ(deployment.call(1, "POST", "/v2/runs/job-1/withdraw").status, 200);
    EXPECT_EQ(stored_format(deployment, "job-1"), 2U)
        << "a follower polls for the record format and writes in it, too";
    auto record = JobRecord::unpack(deployment.store.rows.at("j/job-1").data);
    ASSERT_TRUE(record);
    EXPECT_EQ(record->live.size(), 1U) << "the task is still on its machine";
}

TEST(Upgrade, LeaderWithoutOldPeersWritesTheRecordFormatOnce) {
    Deployment deployment;
    deployment.start(0);
    ASSERT_TRUE(deployment.run_until([&] { return deployment.store.rows.count("form") == 1; }));
    uint64_t mod_revision = deployment.store.rows.at("form").mod_revision;
    EXPECT_EQ(unpack_record_format(deployment.store.rows.at("form").data), 2U);
    deployment.run(1);
    ASSERT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-1")).status, 201);
    EXPECT_EQ(stored_format(deployment, "job-1"), 2U);
    deployment.kill(0);
    deployment.start(0);
    ASSERT_TRUE(deployment.run_until([&] { return deployment.leader() == 0; }));
    deployment.run(5);
    EXPECT_EQ(deployment.store.rows.at("form").mod_revision, mod_revision);
}

// Records of the production version that exceed the lower limits are loaded, and each change of them fits the
// limits: exits of tasks, a cancellation, and a job's completion in one transaction.
TEST(Upgrade, LoadsAndChangesLargeRecordsUnderLowerLimits) {
    for (size_t ops : {2U, 4U}) {
        Deployment deployment;
        JobRecord completed = large_record("job-1", 150, 12), cancelled = large_record("job-2", 150, 10);
        for (auto& [task, placement] : cancelled.live)
            placement.machine = "vm-0009" + placement.machine.substr(7);
        ASSERT_GT(json_text(completed.pack(1)).size(), 2048U);
        store_value(deployment, "j/job-1", completed.pack(1));
        store_value(deployment, "j/job-2", cancelled.pack(1));
        lower_limits(deployment, {.value_bytes = 2048, .txn_ops = ops});
        deployment.start(0);
        ASSERT_TRUE(deployment.run_until([&] { return deployment.leader() == 0; }));
        deployment.run(2);
        EXPECT_EQ(stored_format(deployment, "job-1"), 1U) << "loading must not rewrite a record";
        auto workers = workers_of(completed), cancelled_workers = workers_of(cancelled);
        for (auto& worker : workers) deployment.register_worker(worker);
        for (auto& worker : cancelled_workers) deployment.register_worker(worker);
        for (const auto& worker : workers)
            for (const auto& task : worker.tasks)
                EXPECT_EQ(task.phase, TaskPhase::kRunning) << task.name.text();
        ASSERT_EQ(phase_of(deployment.call(0, "POST", "/v2/runs/job-2/withdraw")), "withdrawn");
        EXPECT_EQ(stored_format(deployment, "job-2"), 2U);
        EXPECT_EQ(JobRecord::unpack(deployment.store.rows.at("j/job-2").data)->live.size(), 150U)
            << "tasks stay in the record until a heartbeat lists their exits";
        // Every second task exits first, which makes the done ranges as long as possible.
        for (uint32_t odd : {1U, 0U}) {
            for (auto& worker : workers) {
                for (auto& task : worker.tasks) {
                    if (task.name.task % 2 != odd) continue;
                    exit_task(task, ExitCause::kDone);
                }
                deployment.send_heartbeat(worker, 0);
            }
            deployment.run(2);
            if (odd) {
                EXPECT_EQ(stored_format(deployment, "job-1"), 2U);
                EXPECT_EQ(JobRecord::unpack(deployment.store.rows.at("j/job-1").data)->done.size(), 75U);
            }
        }
        for (int i = 0; i < 3; ++i)
            for (auto& worker : cancelled_workers) deployment.send_heartbeat(worker, 0);
        deployment.run(2);
        EXPECT_EQ(phase_of(deployment.call(0, "GET", "/v2/runs/job-1")), "done");
        EXPECT_EQ(phase_of(deployment.call(0, "GET", "/v2/runs/job-2")), "withdrawn");
        EXPECT_EQ(deployment.store.rows.count("j/job-1") + deployment.store.rows.count("j/job-2"), 0U);
        EXPECT_EQ(deployment.store.invalid_transactions, 0) << "a transaction exceeded a limit";
    }
}

// A record of an earlier version that exceeds the limit even in format 2 is not written. Until it fits, the
// stored record lists exited tasks as live, which is safe; a cancellation omits the fields that it does not
// need.
TEST(Upgrade, DefersChangesThatExceedTheLimit) {
    Deployment deployment;
    JobRecord record = large_record("job-1", 150, 12), cancelled = large_record("job-2", 400, 12);
    for (uint32_t n = 0; n < 400; n += 2) cancelled.done.add(n);
    std::erase_if(cancelled.live, [&](const auto& placement) { return placement.first % 4 != 1; });
    store_value(deployment, "j/job-1", record.pack(1));
    store_value(deployment, "j/job-2", cancelled.pack(1));
    lower_limits(deployment, {.value_bytes = 780, .txn_ops = 4});
    ASSERT_GT(json_text(record.pack(2)).size(), 780U);
    ASSERT_GT(json_text(cancelled.pack(2)).size(), 780U);
    deployment.start(0);
    ASSERT_TRUE(deployment.run_until([&] { return deployment.leader() == 0; }));
    deployment.run(2);
    EXPECT_EQ(phase_of(deployment.call(0, "POST", "/v2/runs/job-2/withdraw")), "withdrawn");
    EXPECT_EQ(JobRecord::unpack(deployment.store.rows.at("j/job-2").data)->live.size(),
              cancelled.live.size());
    auto workers = workers_of(record);
    for (auto& worker : workers) deployment.register_worker(worker);
    for (size_t i = 0; i < workers.size(); ++i) {
        for (auto& task : workers[i].tasks) {
            exit_task(task, ExitCause::kDone);
        }
        deployment.send_heartbeat(workers[i], 0);
        deployment.run(1);
        deployment.send_heartbeat(workers[i], 0);
        bool written = stored_format(deployment, "job-1") == 2;
        EXPECT_EQ(written, workers[i].tasks.empty()) << "a worker forgets its exits once they are stored";
        if (i == 0) {
            EXPECT_FALSE(written);
        }
        if (i + 1 < workers.size() && !deployment.store.rows.count("j/job-1"))
            FAIL() << "the job has finished too early";
        if (written) break;
    }
    EXPECT_EQ(stored_format(deployment, "job-1"), 2U);
    EXPECT_EQ(deployment.store.invalid_transactions, 0);
}

// A transaction that the store refuses as invalid is not retried until its record changes, and delays no
// other job.
TEST(Upgrade, RefusedRecordIsNotRetriedAndDelaysNoOther) {
    Deployment deployment;
    deployment.start(0);
    ASSERT_TRUE(deployment.run_until([&] { return deployment.store.rows.count("form") == 1; }));
    deployment.run(1);
    std::string team(100, 't');
    ASSERT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-1")).status, 201);
    auto text = [](const std::string& value) { return packed_text(value); };
    ASSERT_EQ(deployment
                  .call(0, "POST", "/v2/runs",
                        job_body("job-2", [&](auto& fields) { fields["jobclass"] = text(team); }))
                  .status,
              201);
    deployment.run(1);
    // The store enforces a lower limit than the settings announce.
    deployment.store.value_bytes = json_text(deployment.store.rows.at("j/job-2").data).size();
    FakeWorker worker;
    deployment.register_worker(worker);
    deployment.send_heartbeat(worker, 0);
    deployment.send_heartbeat(worker, 0);
    deployment.run(10);
    EXPECT_TRUE(worker.find("job-1/0"));
    EXPECT_FALSE(worker.find("job-2/0")) << "launched without a committed placement";
    EXPECT_GE(deployment.store.invalid_transactions, 1);
    EXPECT_LE(deployment.store.invalid_transactions, 2) << "expected once in a batch and once alone";
    int refused = deployment.store.invalid_transactions;
    deployment.run(20);
    EXPECT_EQ(deployment.store.invalid_transactions, refused);
    EXPECT_EQ(phase_of(deployment.call(0, "GET", "/v2/runs/job-2")), "pending");
}

// Ten tasks are placed in one scheduling pass; their records are written in as many transactions as the limit
// requires.
TEST(Upgrade, SplitsTransactionsAtTheLowerLimit) {
    for (size_t ops : {2U, 4U}) {
        Deployment deployment;
        lower_limits(deployment, {.value_bytes = 2048, .txn_ops = ops});
        deployment.start(0);
        ASSERT_TRUE(deployment.run_until([&] { return deployment.store.rows.count("form") == 1; }));
        deployment.run(1);
        auto number = [](double value) { return packed_number(value); };
        FakeWorker worker;
        deployment.register_worker(worker);
        for (int i = 0; i < 10; ++i)
            ASSERT_EQ(deployment
                          .call(0, "POST", "/v2/runs",
                                job_body("job-" + std::to_string(i),
                                         [&](auto& fields) {
                                             fields["vcpus"] = fields["cards"] = fields["memory_gb"] =
                                                 number(0.1);
                                         }))
                          .status,
                      201);
        deployment.run(1);
        for (int i = 0; i < 4; ++i) deployment.send_heartbeat(worker, 0);
        EXPECT_EQ(worker.tasks.size(), 10U);
        for (auto& task : worker.tasks) {
            exit_task(task, ExitCause::kDone);
        }
        for (int i = 0; i < 4; ++i) deployment.send_heartbeat(worker, 0);
        deployment.run(3);
        for (int i = 0; i < 10; ++i)
            EXPECT_EQ(deployment.store.rows.count("f/job-" + std::to_string(i)), 1U)
                << "the final record is missing";
        EXPECT_EQ(deployment.store.invalid_transactions, 0);
    }
}

TEST(Upgrade, RefusesJobDescriptionThatExceedsTheRecordLimit) {
    Deployment deployment;
    // A job that an earlier version accepted stays known.
    JobRecord accepted_job = production_record();
    accepted_job.spec.id = "job-9";
    accepted_job.spec.machine_types.assign(40, std::string(100, 'x'));
    store_value(deployment, "j/job-9", accepted_job.pack(1));
    lower_limits(deployment, {.value_bytes = 2048, .txn_ops = 4});
    deployment.start(0);
    ASSERT_TRUE(deployment.run_until([&] { return deployment.store.rows.count("form") == 1; }));
    deployment.run(1);
    auto long_list = [](auto& fields) {
        MsgpackWriter packer;
        packer.list(64).text("g2");
        for (int i = 1; i < 64; ++i) packer.text(std::string(126, 'x') + std::to_string(10 + i));
        fields["flavors"] = packer.take();
    };
    CallResult response = deployment.call(0, "POST", "/v2/runs", job_body("job-1", long_list));
    EXPECT_EQ(response.status, 400);
    EXPECT_NE(response.body.find("description"), std::string::npos);
    EXPECT_EQ(deployment.call(0, "GET", "/v2/runs/job-1").status, 404);
    EXPECT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-9", long_list)).status, 200);
    EXPECT_EQ(deployment.store.invalid_transactions, 0);
}

// A record of a newer version: its tasks keep running, its machine gets no new tasks, and users get 503.
TEST(Upgrade, LeavesJobsOfANewerRecordFormatAlone) {
    Deployment deployment;
    JobRecord record = large_record("job-7", 1, 1);
    std::string packed = record.pack(2);
    packed.back() = 3;  // the value of "v", the last field
    ASSERT_TRUE(newer_record_format(packed));
    store_value(deployment, "j/job-7", packed);
    deployment.start(0);
    ASSERT_TRUE(deployment.run_until([&] { return deployment.leader() == 0; }));
    deployment.run(1);
    FakeWorker worker;
    worker.name = record.live.at(0).machine;
    worker.tasks = {{{"job-7", 0}, 1, TaskPhase::kRunning, ExitCause::kNone, false},
                    {{"job-7", 5}, 9, TaskPhase::kExited, ExitCause::kDone, false}};
    deployment.register_worker(worker);
    EXPECT_EQ(deployment.call(0, "GET", "/v2/runs/job-7").status, 503);
    EXPECT_EQ(deployment.call(0, "POST", "/v2/runs/job-7/withdraw").status, 503);
    EXPECT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-7")).status, 503);
    EXPECT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-8")).status, 201);
    for (int i = 0; i < 3; ++i) deployment.send_heartbeat(worker, 0);
    ASSERT_EQ(worker.tasks.size(), 2U) << "the worker was told to forget a task";
    ASSERT_TRUE(worker.find("job-7/0"));
    EXPECT_EQ(worker.find("job-7/0")->phase, TaskPhase::kRunning) << "the task was stopped";
    EXPECT_EQ(deployment.store.rows.at("j/job-7").data, packed);
    FakeWorker other;
    deployment.register_worker(other);
    deployment.send_heartbeat(other, 0);
    EXPECT_TRUE(other.find("job-8/0")) << "other jobs must still be launched";
}

TEST(Upgrade, DoesNotLeadWithANewerRecordFormat) {
    for (const std::string& stored_value : {pack_record_format(3), packed_text("not a form")}) {
        Deployment deployment;
        store_value(deployment, "form", stored_value);
        deployment.start(0);
        deployment.run(10);
        EXPECT_EQ(deployment.leader(), -1);
        EXPECT_EQ(deployment.store.rows.count("leader"), 0U);
        EXPECT_EQ(deployment.call(0, "GET", "/ready").status, 503);
        EXPECT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-1")).status, 503);
    }
}

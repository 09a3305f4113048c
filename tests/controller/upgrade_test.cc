// Beside the production version and under the store's later limits: what is written when, that it fits, and
// that no task is lost on the way.
#include <gtest/gtest.h>

#include "standins/lower_limits.h"
#include "standins/production_records.h"
#include "standins/records.h"

using namespace hareshore;
using namespace hareshore::test;

// Until every peer is known to run this version, records are written as the production version reads them.
TEST(Upgrade, WritesTheOldRecordFormatWhileAPeerMayBeOld) {
    Deployment deployment(2);
    deployment.start(0);
    ASSERT_TRUE(deployment.until([&] { return deployment.leader() == 0; }));
    deployment.run(10);
    EXPECT_EQ(deployment.store.rows.count("form"), 0U);
    ASSERT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-1")).status, 201);
    EXPECT_EQ(stored_format(deployment, "job-1"), 1U);
    FakeWorker worker;
    deployment.settle(worker);
    deployment.send_report(worker, 0);
    ASSERT_TRUE(worker.find("job-1/0"));
    EXPECT_EQ(stored_format(deployment, "job-1"), 1U);
    EXPECT_TRUE(MsgpackDocument::parse(deployment.store.rows.at("j/job-1").data)->root()["live"].is_list());
    // The peer runs this version: then format 2 is in force for both, and each change is written in it.
    deployment.start(1);
    ASSERT_TRUE(deployment.until([&] { return deployment.store.rows.count("form") == 1; }));
    deployment.run(3);
    ASSERT_EQ(deployment.leader(), 0);
    EXPECT_EQ(stored_format(deployment, "job-1"), 1U);
    ASSERT_EQ(deployment.call(1, "POST", "/v2/runs/job-1/withdraw").status, 200);
    EXPECT_EQ(stored_format(deployment, "job-1"), 2U)
        << "also by a follower, which asks for the form until it is there";
    auto record = JobRecord::unpack(deployment.store.rows.at("j/job-1").data);
    ASSERT_TRUE(record);
    EXPECT_EQ(record->live.size(), 1U) << "it is still on its machine";
}

TEST(Upgrade, ALeaderWithoutOldPeersPutsTheRecordFormatOnceAndStaysWithIt) {
    Deployment deployment;
    deployment.start(0);
    ASSERT_TRUE(deployment.until([&] { return deployment.store.rows.count("form") == 1; }));
    uint64_t mod_revision = deployment.store.rows.at("form").mod_revision;
    EXPECT_EQ(unpack_record_format(deployment.store.rows.at("form").data), 2U);
    deployment.run(1);
    ASSERT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-1")).status, 201);
    EXPECT_EQ(stored_format(deployment, "job-1"), 2U);
    deployment.kill(0);
    deployment.start(0);
    ASSERT_TRUE(deployment.until([&] { return deployment.leader() == 0; }));
    deployment.run(5);
    EXPECT_EQ(deployment.store.rows.at("form").mod_revision, mod_revision);
}

// What the production version kept in more than the later limits allow is read, and each change of it fits:
// ends of tasks, a cancellation, and its end in one transaction.
TEST(Upgrade, TakesOverLargeRecordsUnderTheLowerLimits) {
    for (size_t ops : {2U, 4U}) {
        Deployment deployment;
        JobRecord ended = large_record("job-1", 150, 12), cancelled = large_record("job-2", 150, 10);
        for (auto& [task, b] : cancelled.live) b.machine = "vm-0009" + b.machine.substr(7);
        ASSERT_GT(json_text(ended.pack(1)).size(), 2048U);
        store_value(deployment, "j/job-1", ended.pack(1));
        store_value(deployment, "j/job-2", cancelled.pack(1));
        lower_limits(deployment, {.value_bytes = 2048, .txn_ops = ops});
        deployment.start(0);
        ASSERT_TRUE(deployment.until([&] { return deployment.leader() == 0; }));
        deployment.run(2);
        EXPECT_EQ(stored_format(deployment, "job-1"), 1U) << "its next change replaces it, nothing before";
        auto one = workers_of(ended), two = workers_of(cancelled);
        for (auto& worker : one) deployment.settle(worker);
        for (auto& worker : two) deployment.settle(worker);
        for (const auto& worker : one)
            for (const auto& task : worker.tasks)
                EXPECT_EQ(task.phase, TaskPhase::kRunning) << task.name.text();
        ASSERT_EQ(phase_of(deployment.call(0, "POST", "/v2/runs/job-2/withdraw")), "withdrawn");
        EXPECT_EQ(stored_format(deployment, "job-2"), 2U);
        EXPECT_EQ(JobRecord::unpack(deployment.store.rows.at("j/job-2").data)->live.size(), 150U)
            << "none is free yet";
        // Every second task ends first: the done ranges are as long as they can be.
        for (uint32_t odd : {1U, 0U}) {
            for (auto& worker : one) {
                for (auto& task : worker.tasks) {
                    if (task.name.task % 2 != odd) continue;
                    exit_task(task, ExitCause::kDone);
                }
                deployment.send_report(worker, 0);
            }
            deployment.run(2);
            if (odd) {
                EXPECT_EQ(stored_format(deployment, "job-1"), 2U);
                EXPECT_EQ(JobRecord::unpack(deployment.store.rows.at("j/job-1").data)->done.size(), 75U);
            }
        }
        for (int i = 0; i < 3; ++i)
            for (auto& worker : two) deployment.send_report(worker, 0);
        deployment.run(2);
        EXPECT_EQ(phase_of(deployment.call(0, "GET", "/v2/runs/job-1")), "done");
        EXPECT_EQ(phase_of(deployment.call(0, "GET", "/v2/runs/job-2")), "withdrawn");
        EXPECT_EQ(deployment.store.rows.count("j/job-1") + deployment.store.rows.count("j/job-2"), 0U);
        EXPECT_EQ(deployment.store.invalid_transactions, 0) << "nothing was sent that exceeds a limit";
    }
}

// What an earlier version let grow beyond even format 2's room is not sent. Until it fits, the record says of
// ended tasks that they are live, which is safe; a cancellation leaves out what it does not need.
TEST(Upgrade, AChangeThatDoesNotFitIsKeptUntilItDoes) {
    Deployment deployment;
    JobRecord record = large_record("job-1", 150, 12), w = large_record("job-2", 400, 12);
    for (uint32_t n = 0; n < 400; n += 2) w.done.add(n);
    std::erase_if(w.live, [&](const auto& l) { return l.first % 4 != 1; });
    store_value(deployment, "j/job-1", record.pack(1));
    store_value(deployment, "j/job-2", w.pack(1));
    lower_limits(deployment, {.value_bytes = 780, .txn_ops = 4});
    ASSERT_GT(json_text(record.pack(2)).size(), 780U);
    ASSERT_GT(json_text(w.pack(2)).size(), 780U);
    deployment.start(0);
    ASSERT_TRUE(deployment.until([&] { return deployment.leader() == 0; }));
    deployment.run(2);
    EXPECT_EQ(phase_of(deployment.call(0, "POST", "/v2/runs/job-2/withdraw")), "withdrawn");
    EXPECT_EQ(JobRecord::unpack(deployment.store.rows.at("j/job-2").data)->live.size(), w.live.size());
    auto workers = workers_of(record);
    for (auto& x : workers) deployment.settle(x);
    for (size_t i = 0; i < workers.size(); ++i) {
        for (auto& task : workers[i].tasks) {
            exit_task(task, ExitCause::kDone);
        }
        deployment.send_report(workers[i], 0);
        deployment.run(1);
        deployment.send_report(workers[i], 0);
        bool written = stored_format(deployment, "job-1") == 2;
        EXPECT_EQ(written, workers[i].tasks.empty()) << "an exit is forgotten once it is kept";
        if (i == 0) {
            EXPECT_FALSE(written);
        }
        if (i + 1 < workers.size() && !deployment.store.rows.count("j/job-1")) FAIL() << "not over yet";
        if (written) break;
    }
    EXPECT_EQ(stored_format(deployment, "job-1"), 2U);
    EXPECT_EQ(deployment.store.invalid_transactions, 0);
}

// A refusal for what a transaction is: sent once, not again until the record has changed, and no other job
// waits.
TEST(Upgrade, ARefusedRecordIsNotSentAgainAndHoldsUpNoOther) {
    Deployment deployment;
    deployment.start(0);
    ASSERT_TRUE(deployment.until([&] { return deployment.store.rows.count("form") == 1; }));
    deployment.run(1);
    std::string team(100, 't');
    ASSERT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-1")).status, 201);
    auto text = [](const std::string& x) { return packed_text(x); };
    ASSERT_EQ(deployment
                  .call(0, "POST", "/v2/runs",
                        job_body("job-2", [&](auto& fields) { fields["jobclass"] = text(team); }))
                  .status,
              201);
    deployment.run(1);
    // The service is stricter than any settings said.
    deployment.store.value_bytes = json_text(deployment.store.rows.at("j/job-2").data).size();
    FakeWorker worker;
    deployment.settle(worker);
    deployment.send_report(worker, 0);
    deployment.send_report(worker, 0);
    deployment.run(10);
    EXPECT_TRUE(worker.find("job-1/0"));
    EXPECT_FALSE(worker.find("job-2/0")) << "not committed, so not launched";
    EXPECT_GE(deployment.store.invalid_transactions, 1);
    EXPECT_LE(deployment.store.invalid_transactions, 2) << "in a batch, and once by itself";
    int before = deployment.store.invalid_transactions;
    deployment.run(20);
    EXPECT_EQ(deployment.store.invalid_transactions, before);
    EXPECT_EQ(phase_of(deployment.call(0, "GET", "/v2/runs/job-2")), "pending");
}

// Ten tasks are bound in one scheduling pass: their records go out in as many transactions as it takes.
TEST(Upgrade, SendsNoMoreChangesAtOnceThanTheLaterLimitAllows) {
    for (size_t ops : {2U, 4U}) {
        Deployment deployment;
        lower_limits(deployment, {.value_bytes = 2048, .txn_ops = ops});
        deployment.start(0);
        ASSERT_TRUE(deployment.until([&] { return deployment.store.rows.count("form") == 1; }));
        deployment.run(1);
        auto number = [](double d) { return packed_number(d); };
        FakeWorker worker;
        deployment.settle(worker);
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
        for (int i = 0; i < 4; ++i) deployment.send_report(worker, 0);
        EXPECT_EQ(worker.tasks.size(), 10U);
        for (auto& task : worker.tasks) {
            exit_task(task, ExitCause::kDone);
        }
        for (int i = 0; i < 4; ++i) deployment.send_report(worker, 0);
        deployment.run(3);
        for (int i = 0; i < 10; ++i)
            EXPECT_EQ(deployment.store.rows.count("f/job-" + std::to_string(i)), 1U)
                << "ends, two changes each";
        EXPECT_EQ(deployment.store.invalid_transactions, 0);
    }
}

TEST(Upgrade, RefusesADescriptionThatNoRecordCouldHold) {
    Deployment deployment;
    // Accepted by an earlier version: it stays known.
    JobRecord known = production_record();
    known.spec.id = "job-9";
    known.spec.machine_types.assign(40, std::string(100, 'x'));
    store_value(deployment, "j/job-9", known.pack(1));
    lower_limits(deployment, {.value_bytes = 2048, .txn_ops = 4});
    deployment.start(0);
    ASSERT_TRUE(deployment.until([&] { return deployment.store.rows.count("form") == 1; }));
    deployment.run(1);
    auto long_list = [](auto& fields) {
        MsgpackWriter packer;
        packer.list(64).text("g2");
        for (int i = 1; i < 64; ++i) packer.text(std::string(126, 'x') + std::to_string(10 + i));
        fields["flavors"] = packer.take();
    };
    CallResult answer = deployment.call(0, "POST", "/v2/runs", job_body("job-1", long_list));
    EXPECT_EQ(answer.status, 400);
    EXPECT_NE(answer.body.find("description"), std::string::npos);
    EXPECT_EQ(deployment.call(0, "GET", "/v2/runs/job-1").status, 404);
    EXPECT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-9", long_list)).status, 200);
    EXPECT_EQ(deployment.store.invalid_transactions, 0);
}

// A record of a later version: its tasks are left alone, its machine gets nothing, its user is asked to come
// again.
TEST(Upgrade, DecidesNothingOnARecordOfANewerRecordFormat) {
    Deployment deployment;
    JobRecord record = large_record("job-7", 1, 1);
    std::string packed = record.pack(2);
    packed.back() = 3;  // "v", packed last
    ASSERT_TRUE(newer_record_format(packed));
    store_value(deployment, "j/job-7", packed);
    deployment.start(0);
    ASSERT_TRUE(deployment.until([&] { return deployment.leader() == 0; }));
    deployment.run(1);
    FakeWorker worker;
    worker.name = record.live.at(0).machine;
    worker.tasks = {{{"job-7", 0}, 1, TaskPhase::kRunning, ExitCause::kNone, false},
                    {{"job-7", 5}, 9, TaskPhase::kExited, ExitCause::kDone, false}};
    deployment.settle(worker);
    EXPECT_EQ(deployment.call(0, "GET", "/v2/runs/job-7").status, 503);
    EXPECT_EQ(deployment.call(0, "POST", "/v2/runs/job-7/withdraw").status, 503);
    EXPECT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-7")).status, 503);
    EXPECT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-8")).status, 201);
    for (int i = 0; i < 3; ++i) deployment.send_report(worker, 0);
    ASSERT_EQ(worker.tasks.size(), 2U) << "neither forgotten";
    ASSERT_TRUE(worker.find("job-7/0"));
    EXPECT_EQ(worker.find("job-7/0")->phase, TaskPhase::kRunning) << "nor halted";
    EXPECT_EQ(deployment.store.rows.at("j/job-7").data, packed);
    FakeWorker other;
    deployment.settle(other);
    deployment.send_report(other, 0);
    EXPECT_TRUE(other.find("job-8/0")) << "the others are served";
}

TEST(Upgrade, DoesNotLeadOverANewerRecordFormat) {
    for (const std::string& kept : {pack_record_format(3), packed_text("not a form")}) {
        Deployment deployment;
        store_value(deployment, "form", kept);
        deployment.start(0);
        deployment.run(10);
        EXPECT_EQ(deployment.leader(), -1);
        EXPECT_EQ(deployment.store.rows.count("leader"), 0U);
        EXPECT_EQ(deployment.call(0, "GET", "/ready").status, 503);
        EXPECT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-1")).status, 503);
    }
}

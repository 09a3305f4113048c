// The store's later limits when they fall at a bad moment: before records of format 2 may be written, in a
// failover, with a transaction under way, and over records of the earlier format.
#include "standins/lower_limits.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "base/constants.h"
#include "standins/records.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

constexpr size_t kLowerValueBytes = LowerLimits{}.value_bytes;

// An array whose tasks all run, on so many machines in two zones.
JobRecord running_array(const std::string& id, uint32_t tasks, uint32_t machines, uint32_t first_machine) {
    JobRecord record;
    record.spec.id = id;
    record.spec.job_class = "c";
    record.spec.team = "team";
    record.spec.tasks = tasks;
    record.spec.cpus = record.spec.memory_gb = 0.01;
    record.spec.image = "img-1";
    record.spec.image_gb = 2;
    record.spec.estimate_s = 60;
    record.spec.checkpoint_s = 10;
    record.spec.save_s = 2;
    record.accepted_wall = {1};
    record.next_attempt = tasks + 1;
    for (uint32_t n = 0; n < tasks; ++n) {
        uint32_t machine = n % machines;
        record.live[n] = {n + 1, machine_name(first_machine + machine), machine % 2 ? "b" : "a"};
    }
    return record;
}

size_t stored_bytes(Deployment& deployment, const std::string& id) {
    return json_text(deployment.store.rows.at(live_key(id)).data).size();
}

Task<void> report(Deployment& deployment, FakeWorker& worker, int node, size_t& answered) {
    co_await worker.send_report(deployment.loop, deployment.config(node).listen);
    ++answered;
}

// All workers report at the same time.
void report_all(Deployment& deployment, std::vector<FakeWorker>& workers, int node) {
    TaskGroup scope(deployment.loop);
    size_t answered = 0;
    for (auto& worker : workers) scope.spawn(report(deployment, worker, node, answered), "report");
    EXPECT_TRUE(deployment.until([&] { return answered == workers.size(); }, 20));
}

size_t exits_kept(const std::vector<FakeWorker>& workers) {
    size_t n = 0;
    for (const auto& worker : workers)
        n += static_cast<size_t>(
            std::count_if(worker.tasks.begin(), worker.tasks.end(),
                          [](const TaskStatus& task) { return task.phase == TaskPhase::kExited; }));
    return n;
}

// Whether some task runs on two machines at once.
bool ran_twice(const std::vector<FakeWorker>& workers) {
    std::set<TaskName> running;
    for (const auto& worker : workers)
        for (const auto& task : worker.tasks)
            if (task.phase != TaskPhase::kExited && !running.insert(task.name).second) return true;
    return false;
}

}  // namespace

// The last controller runs this version, but the put of the format is lost, and the limits fall meanwhile.
// What format 1 cannot hold any more waits for format 2, and nothing else does.
TEST(LowerStoreLimits, FallenBeforeTheRecordFormatIsPutHoldUpOnlyWhatIsTooLarge) {
    Deployment deployment(2);
    announce_limits(deployment);
    JobRecord ends = running_array("job-1", 150, 12, 100), cancelled = running_array("job-2", 150, 10, 200);
    ASSERT_GT(json_text(ends.pack(1)).size(), kLowerValueBytes);
    store_record(deployment, ends);
    store_record(deployment, cancelled);
    deployment.start(0);
    ASSERT_TRUE(deployment.until([&] { return deployment.leader() == 0; }));
    deployment.run(1);
    auto workers = workers_of(ends);
    report_all(deployment, workers, 0);
    report_all(deployment, workers, 0);
    bool lose_record_format = true;
    deployment.store.let_through = [&](const std::string& txn) {
        return !(lose_record_format && writes_key(txn, kRecordFormatKey));
    };
    deployment.start(1);
    ASSERT_TRUE(deployment.until([&] { return !deployment.store.held_transactions.empty(); }))
        << "the put of the format is on its way";
    enforce_limits(deployment);

    for (auto& worker : workers)
        for (auto& task : worker.tasks)
            if (task.name.task % 2) exit_task(task, ExitCause::kDone);
    for (int i = 0; i < 2; ++i) report_all(deployment, workers, 0);
    EXPECT_EQ(stored_format(deployment, "job-1"), 1U);
    EXPECT_EQ(exits_kept(workers), 75U) << "not forgotten before what came of them is kept";
    EXPECT_EQ(deployment.call(1, "POST", "/v2/runs/job-2/withdraw").status, 503) << "its user comes again";
    EXPECT_EQ(phase_of(deployment.call(0, "GET", "/v2/runs/job-2")), "running");
    EXPECT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-3")).status, 201);
    EXPECT_EQ(deployment.call(1, "POST", "/v2/runs", job_body("job-4")).status, 201);
    ASSERT_EQ(deployment.store.rows.count("form"), 0U);
    int refused = deployment.store.invalid_transactions;
    EXPECT_LE(refused, 2) << "the leader's record once, the withdrawal once";

    lose_record_format = false;
    ASSERT_TRUE(deployment.until([&] { return deployment.store.rows.count("form") == 1; }, 5));
    EXPECT_TRUE(deployment.until([&] { return stored_format(deployment, "job-1") == 2; }, 3))
        << "though nothing of it changes";
    EXPECT_EQ(stored_record(deployment, "job-1").done.size(), 75U);
    EXPECT_EQ(stored_record(deployment, "job-1").live.size(), 75U);
    for (int i = 0; i < 2; ++i) report_all(deployment, workers, 0);
    EXPECT_EQ(exits_kept(workers), 0U);
    EXPECT_EQ(phase_of(deployment.call(1, "POST", "/v2/runs/job-2/withdraw")), "withdrawn");
    EXPECT_EQ(stored_record(deployment, "job-2").live.size(), 150U) << "none is free yet";
    EXPECT_FALSE(ran_twice(workers));
    EXPECT_EQ(deployment.store.invalid_transactions, refused) << "nothing was refused twice";
}

// The limits fall while a new leader has read some of the records and not the others, with format 2 in force
// and without.
TEST(LowerStoreLimits, FallenWhileANewLeaderReadsRecordsLoseNothing) {
    for (bool record_format_put : {true, false}) {
        Deployment deployment(2);
        announce_limits(deployment);
        std::vector<FakeWorker> workers;
        constexpr int kJobs = 6;
        for (int i = 0; i < kJobs; ++i) {
            JobRecord record =
                running_array("job-" + std::to_string(i), 140, 10, static_cast<uint32_t>(100 * i));
            store_record(deployment, record);
            for (auto& worker : workers_of(record)) workers.push_back(std::move(worker));
        }
        deployment.store.let_through = [&](const std::string& txn) {
            return record_format_put || !writes_key(txn, kRecordFormatKey);
        };
        deployment.start(0);
        deployment.start(1);
        ASSERT_TRUE(deployment.until([&] {
            return deployment.leader() >= 0 && (!record_format_put || deployment.store.rows.contains("form"));
        }));
        int first = deployment.leader(), second = 1 - first;
        deployment.run(1);
        deployment.kill(first);
        deployment.store.list_page_size = 1;
        deployment.store.expire_lease(deployment.store.rows.at("leader").lease);
        Controller& node = deployment.node(second);
        ASSERT_TRUE(deployment.until([&] { return node.leader() && node.leader()->jobs().size() > 0; }));
        ASSERT_LT(node.leader()->jobs().size(), static_cast<size_t>(kJobs)) << "it still reads";
        enforce_limits(deployment);
        deployment.start(first);
        ASSERT_TRUE(deployment.until([&] { return node.leader()->loaded_for() > 0; }));
        EXPECT_EQ(node.leader()->jobs().size(), static_cast<size_t>(kJobs));
        deployment.store.let_through = {};

        report_all(deployment, workers, second);
        for (auto& worker : workers)
            for (auto& task : worker.tasks)
                if (task.name.task % 4 == 1) exit_task(task, ExitCause::kDone);
        for (int i = 0; i < 2; ++i) report_all(deployment, workers, second);
        deployment.run(4);
        ASSERT_EQ(deployment.leader(), second);
        for (int i = 0; i < kJobs; ++i) {
            std::string id = "job-" + std::to_string(i);
            EXPECT_EQ(stored_format(deployment, id), 2U);
            EXPECT_LE(stored_bytes(deployment, id), kLowerValueBytes);
            EXPECT_EQ(stored_record(deployment, id).done.size(), 35U);
            EXPECT_EQ(stored_record(deployment, id).live.size(), 105U);
            EXPECT_GT(json_text(stored_record(deployment, id).pack(1)).size(), kLowerValueBytes)
                << "format 1 cannot hold it";
        }
        report_all(deployment, workers, second);
        EXPECT_EQ(exits_kept(workers), 0U);
        EXPECT_FALSE(ran_twice(workers));
        if (record_format_put) {
            EXPECT_EQ(deployment.store.invalid_transactions, 0);
        }
    }
}

// The service carried a transaction out under the old limits and its answer is lost; repeated, it is refused
// for its size before its conditions are looked at. Nothing is concluded from that.
TEST(LowerStoreLimits, RefusingTheRepeatOfACarriedOutTransactionLosesNothing) {
    for (bool carried_out : {true, false}) {
        Deployment deployment(2);
        announce_limits(deployment);
        JobRecord record = running_array("job-1", 150, 12, 100);
        store_record(deployment, record);
        store_record(deployment, running_array("job-2", 150, 10, 200));
        deployment.start(0);
        ASSERT_TRUE(deployment.until([&] { return deployment.leader() == 0; }));
        deployment.run(1);
        auto workers = workers_of(record);
        report_all(deployment, workers, 0);
        bool lose = true;
        deployment.store.let_through = [&](const std::string& txn) {
            if (!lose) return true;
            if (!writes_key(txn, "j/job-1") && !writes_key(txn, "j/job-2") && !writes_key(txn, "j/job-3"))
                return true;
            if (carried_out) {
                EXPECT_EQ(deployment.store.apply(txn).status, 200);
            }
            return false;
        };
        for (auto& worker : workers)
            for (auto& task : worker.tasks)
                if (task.name.task < 50) exit_task(task, ExitCause::kDone);
        report_all(deployment, workers, 0);
        EXPECT_NE(deployment.call(0, "POST", "/v2/runs/job-2/withdraw").status, 200);
        EXPECT_NE(deployment.call(0, "POST", "/v2/runs", job_body("job-3")).status, 201);
        ASSERT_GE(deployment.store.held_transactions.size(), 3U);
        lose = false;
        enforce_limits(deployment);
        // One that was not carried out comes after all, and is too large.
        int too_large = 0;
        for (const auto& txn : deployment.store.held_transactions)
            too_large += deployment.store.apply(txn).status == 400 ? 1 : 0;
        EXPECT_GE(too_large, 2);
        deployment.run(3);
        report_all(deployment, workers, 0);
        EXPECT_EQ(stored_format(deployment, "job-1"), 1U);
        EXPECT_EQ(exits_kept(workers), 50U) << "whether it is kept is not known";

        deployment.start(1);
        ASSERT_TRUE(deployment.until([&] { return deployment.store.rows.count("form") == 1; }));
        EXPECT_TRUE(deployment.until([&] { return stored_format(deployment, "job-1") == 2; }, 5));
        EXPECT_EQ(stored_record(deployment, "job-1").done.size(), 50U);
        EXPECT_EQ(stored_record(deployment, "job-1").live.size(), 100U);
        for (int i = 0; i < 2; ++i) report_all(deployment, workers, 0);
        EXPECT_EQ(exits_kept(workers), 0U);
        deployment.run(
            constants::kRecordFormatPollInterval_s);  // until the second node has read the format, too
        EXPECT_EQ(phase_of(deployment.call(1, "POST", "/v2/runs/job-2/withdraw")), "withdrawn");
        EXPECT_EQ(deployment.call(1, "POST", "/v2/runs", job_body("job-3")).status, 200)
            << "carried out, soon or late";
        EXPECT_FALSE(ran_twice(workers));
    }
}

// Each task on a machine of its own, stored in format 1: read, changed and kept in format 2, through a
// take-over, until all are done. Tasks that were stopped start again, in attempts that nobody has had.
TEST(LowerStoreLimits, ASpreadArrayOfTheEarlierRecordFormatRunsToItsEndWithinThem) {
    constexpr uint32_t kTasks = 150;
    Deployment deployment;
    announce_limits(deployment);
    deployment.configs[0].heartbeat_interval_s = 10;
    JobRecord record = running_array("job-1", kTasks, kTasks, 1);
    ASSERT_GT(json_text(record.pack(1)).size(), kLowerValueBytes);
    store_record(deployment, record);
    deployment.start(0);
    ASSERT_TRUE(deployment.until([&] { return deployment.store.rows.count("form") == 1; }));
    enforce_limits(deployment);
    auto workers = workers_of(record);
    ASSERT_EQ(workers.size(), kTasks);
    std::map<TaskName, uint64_t> newest;
    auto round = [&] {
        report_all(deployment, workers, 0);
        EXPECT_FALSE(ran_twice(workers));
        for (const auto& worker : workers)
            for (const auto& task : worker.tasks) {
                auto& attempt = newest[task.name];
                EXPECT_GE(task.attempt, attempt) << task.name.text();
                attempt = task.attempt;
            }
        if (!deployment.store.rows.contains("j/job-1")) return;
        EXPECT_LE(stored_bytes(deployment, "job-1"),
                  stored_format(deployment, "job-1") == 2 ? kLowerValueBytes : SIZE_MAX);
        EXPECT_EQ(deployment.call(0, "GET", "/v2/runs/job-1").status, 200);
    };
    for (int i = 0; i < 2; ++i) round();
    EXPECT_EQ(stored_format(deployment, "job-1"), 1U) << "nothing has changed yet";
    for (auto& worker : workers)
        for (auto& task : worker.tasks) {
            if (task.name.task % 3 == 0)
                exit_task(task, ExitCause::kDone);
            else if (task.name.task % 5 == 1)
                exit_task(task, ExitCause::kStopped);
        }
    round();
    EXPECT_TRUE(deployment.until([&] { return stored_format(deployment, "job-1") == 2; }, 2));
    for (int i = 0; i < 3; ++i) round();
    EXPECT_EQ(stored_record(deployment, "job-1").live.size(), kTasks - kTasks / 3)
        << "what was stopped runs again";
    deployment.kill(0);
    deployment.start(0);
    ASSERT_TRUE(deployment.until([&] { return deployment.leader() == 0; }));
    for (int i = 0; i < 2; ++i) round();
    EXPECT_EQ(stored_record(deployment, "job-1").live.size(), kTasks - kTasks / 3);
    for (auto& worker : workers)
        for (auto& task : worker.tasks) exit_task(task, ExitCause::kDone);
    for (int i = 0; i < 3; ++i) round();
    EXPECT_EQ(phase_of(deployment.call(0, "GET", "/v2/runs/job-1")), "done");
    EXPECT_EQ(newest.size(), kTasks) << "no task was invented";
    EXPECT_EQ(deployment.store.invalid_transactions, 0);
}

// The store lowers its limits at difficult moments: before records may be written in format 2, during a
// failover, while a transaction is under way, and while records are still stored in format 1.
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

// A job array whose tasks all run, spread over `machines` machines in two zones.
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
    for (uint32_t task = 0; task < tasks; ++task) {
        uint32_t machine = task % machines;
        record.live[task] = {task + 1, machine_name(first_machine + machine), machine % 2 ? "b" : "a"};
    }
    return record;
}

size_t stored_bytes(Deployment& deployment, const std::string& id) {
    return json_text(deployment.store.rows.at(live_key(id)).data).size();
}

Task<void> send_heartbeat(Deployment& deployment, FakeWorker& worker, int node, size_t& responses) {
    co_await worker.send_heartbeat(deployment.loop, deployment.config(node).listen);
    ++responses;
}

// All workers send a heartbeat at the same time.
void send_all_heartbeats(Deployment& deployment, std::vector<FakeWorker>& workers, int node) {
    TaskGroup scope(deployment.loop);
    size_t responses = 0;
    for (auto& worker : workers)
        scope.spawn(send_heartbeat(deployment, worker, node, responses), "heartbeat");
    EXPECT_TRUE(deployment.run_until([&] { return responses == workers.size(); }, 20));
}

// Exited tasks that the workers have not been told to forget.
size_t unconfirmed_exits(const std::vector<FakeWorker>& workers) {
    size_t exits = 0;
    for (const auto& worker : workers)
        exits += static_cast<size_t>(
            std::count_if(worker.tasks.begin(), worker.tasks.end(),
                          [](const TaskStatus& task) { return task.phase == TaskPhase::kExited; }));
    return exits;
}

// Whether a task runs on two machines at once.
bool any_task_runs_twice(const std::vector<FakeWorker>& workers) {
    std::set<TaskName> running;
    for (const auto& worker : workers)
        for (const auto& task : worker.tasks)
            if (task.phase != TaskPhase::kExited && !running.insert(task.name).second) return true;
    return false;
}

}  // namespace

// The last controller has been upgraded, but the write of the record format is lost, and then the limits are
// lowered. Only changes that no longer fit in format 1 wait for format 2.
TEST(LowerStoreLimits, LoweredBeforeTheRecordFormatIsWrittenDelayOnlyLargeRecords) {
    Deployment deployment(2);
    announce_limits(deployment);
    JobRecord completing = running_array("job-1", 150, 12, 100),
              cancelled = running_array("job-2", 150, 10, 200);
    ASSERT_GT(json_text(completing.pack(1)).size(), kLowerValueBytes);
    store_record(deployment, completing);
    store_record(deployment, cancelled);
    deployment.start(0);
    ASSERT_TRUE(deployment.run_until([&] { return deployment.leader() == 0; }));
    deployment.run(1);
    auto workers = workers_of(completing);
    send_all_heartbeats(deployment, workers, 0);
    send_all_heartbeats(deployment, workers, 0);
    bool lose_record_format = true;
    deployment.store.transaction_filter = [&](const std::string& txn) {
        return !(lose_record_format && writes_key(txn, kRecordFormatKey));
    };
    deployment.start(1);
    ASSERT_TRUE(deployment.run_until([&] { return !deployment.store.held_transactions.empty(); }))
        << "the record format was not written";
    enforce_limits(deployment);

    for (auto& worker : workers)
        for (auto& task : worker.tasks)
            if (task.name.task % 2) exit_task(task, ExitCause::kDone);
    for (int i = 0; i < 2; ++i) send_all_heartbeats(deployment, workers, 0);
    EXPECT_EQ(stored_format(deployment, "job-1"), 1U);
    EXPECT_EQ(unconfirmed_exits(workers), 75U) << "exits were forgotten before they were stored";
    EXPECT_EQ(deployment.call(1, "POST", "/v2/runs/job-2/withdraw").status, 503) << "the user must retry";
    EXPECT_EQ(phase_of(deployment.call(0, "GET", "/v2/runs/job-2")), "running");
    EXPECT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-3")).status, 201);
    EXPECT_EQ(deployment.call(1, "POST", "/v2/runs", job_body("job-4")).status, 201);
    ASSERT_EQ(deployment.store.rows.count("form"), 0U);
    int refused = deployment.store.invalid_transactions;
    EXPECT_LE(refused, 2) << "expected one for the leader's record and one for the cancellation";

    lose_record_format = false;
    ASSERT_TRUE(deployment.run_until([&] { return deployment.store.rows.count("form") == 1; }, 5));
    EXPECT_TRUE(deployment.run_until([&] { return stored_format(deployment, "job-1") == 2; }, 3))
        << "the record must be written without a further change";
    EXPECT_EQ(stored_record(deployment, "job-1").done.size(), 75U);
    EXPECT_EQ(stored_record(deployment, "job-1").live.size(), 75U);
    for (int i = 0; i < 2; ++i) send_all_heartbeats(deployment, workers, 0);
    EXPECT_EQ(unconfirmed_exits(workers), 0U);
    EXPECT_EQ(phase_of(deployment.call(1, "POST", "/v2/runs/job-2/withdraw")), "withdrawn");
    EXPECT_EQ(stored_record(deployment, "job-2").live.size(), 150U)
        << "tasks stay in the record until a heartbeat lists their exits";
    EXPECT_FALSE(any_task_runs_twice(workers));
    EXPECT_EQ(deployment.store.invalid_transactions, refused) << "a refused transaction was retried";
}

// The limits are lowered while a new leader has read only some of the records, with format 2 in force and
// without.
TEST(LowerStoreLimits, LoweredWhileANewLeaderReadsRecordsLoseNothing) {
    for (bool record_format_written : {true, false}) {
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
        deployment.store.transaction_filter = [&](const std::string& txn) {
            return record_format_written || !writes_key(txn, kRecordFormatKey);
        };
        deployment.start(0);
        deployment.start(1);
        ASSERT_TRUE(deployment.run_until([&] {
            return deployment.leader() >= 0 &&
                   (!record_format_written || deployment.store.rows.contains("form"));
        }));
        int first_leader = deployment.leader(), second_leader = 1 - first_leader;
        deployment.run(1);
        deployment.kill(first_leader);
        deployment.store.list_page_size = 1;
        deployment.store.expire_lease(deployment.store.rows.at("leader").lease);
        Controller& node = deployment.node(second_leader);
        ASSERT_TRUE(deployment.run_until([&] { return node.leader() && node.leader()->jobs().size() > 0; }));
        ASSERT_LT(node.leader()->jobs().size(), static_cast<size_t>(kJobs))
            << "the leader has already read all records";
        enforce_limits(deployment);
        deployment.start(first_leader);
        ASSERT_TRUE(deployment.run_until([&] { return node.leader()->loaded_for() > 0; }));
        EXPECT_EQ(node.leader()->jobs().size(), static_cast<size_t>(kJobs));
        deployment.store.transaction_filter = {};

        send_all_heartbeats(deployment, workers, second_leader);
        for (auto& worker : workers)
            for (auto& task : worker.tasks)
                if (task.name.task % 4 == 1) exit_task(task, ExitCause::kDone);
        for (int i = 0; i < 2; ++i) send_all_heartbeats(deployment, workers, second_leader);
        deployment.run(4);
        ASSERT_EQ(deployment.leader(), second_leader);
        for (int i = 0; i < kJobs; ++i) {
            std::string id = "job-" + std::to_string(i);
            EXPECT_EQ(stored_format(deployment, id), 2U);
            EXPECT_LE(stored_bytes(deployment, id), kLowerValueBytes);
            EXPECT_EQ(stored_record(deployment, id).done.size(), 35U);
            EXPECT_EQ(stored_record(deployment, id).live.size(), 105U);
            EXPECT_GT(json_text(stored_record(deployment, id).pack(1)).size(), kLowerValueBytes)
                << "the record fits in format 1";
        }
        send_all_heartbeats(deployment, workers, second_leader);
        EXPECT_EQ(unconfirmed_exits(workers), 0U);
        EXPECT_FALSE(any_task_runs_twice(workers));
        if (record_format_written) {
            EXPECT_EQ(deployment.store.invalid_transactions, 0);
        }
    }
}

// The store applied a transaction under the old limits, but its response is lost. The retry is refused for
// its size before its conditions are checked, so the refusal does not show whether the transaction was
// applied.
TEST(LowerStoreLimits, RefusedRetryOfAnAppliedTransactionLosesNothing) {
    for (bool applied : {true, false}) {
        Deployment deployment(2);
        announce_limits(deployment);
        JobRecord record = running_array("job-1", 150, 12, 100);
        store_record(deployment, record);
        store_record(deployment, running_array("job-2", 150, 10, 200));
        deployment.start(0);
        ASSERT_TRUE(deployment.run_until([&] { return deployment.leader() == 0; }));
        deployment.run(1);
        auto workers = workers_of(record);
        send_all_heartbeats(deployment, workers, 0);
        bool fail_transactions = true;
        deployment.store.transaction_filter = [&](const std::string& txn) {
            if (!fail_transactions) return true;
            if (!writes_key(txn, "j/job-1") && !writes_key(txn, "j/job-2") && !writes_key(txn, "j/job-3"))
                return true;
            if (applied) {
                EXPECT_EQ(deployment.store.apply(txn).status, 200);
            }
            return false;
        };
        for (auto& worker : workers)
            for (auto& task : worker.tasks)
                if (task.name.task < 50) exit_task(task, ExitCause::kDone);
        send_all_heartbeats(deployment, workers, 0);
        EXPECT_NE(deployment.call(0, "POST", "/v2/runs/job-2/withdraw").status, 200);
        EXPECT_NE(deployment.call(0, "POST", "/v2/runs", job_body("job-3")).status, 201);
        ASSERT_GE(deployment.store.held_transactions.size(), 3U);
        fail_transactions = false;
        enforce_limits(deployment);
        // The held transactions arrive late; the store refuses those that are too large, applied before or
        // not.
        int too_large = 0;
        for (const auto& txn : deployment.store.held_transactions)
            too_large += deployment.store.apply(txn).status == 400 ? 1 : 0;
        EXPECT_GE(too_large, 2);
        deployment.run(3);
        send_all_heartbeats(deployment, workers, 0);
        EXPECT_EQ(stored_format(deployment, "job-1"), 1U);
        EXPECT_EQ(unconfirmed_exits(workers), 50U) << "exits were forgotten although they may not be stored";

        deployment.start(1);
        ASSERT_TRUE(deployment.run_until([&] { return deployment.store.rows.count("form") == 1; }));
        EXPECT_TRUE(deployment.run_until([&] { return stored_format(deployment, "job-1") == 2; }, 5));
        EXPECT_EQ(stored_record(deployment, "job-1").done.size(), 50U);
        EXPECT_EQ(stored_record(deployment, "job-1").live.size(), 100U);
        for (int i = 0; i < 2; ++i) send_all_heartbeats(deployment, workers, 0);
        EXPECT_EQ(unconfirmed_exits(workers), 0U);
        deployment.run(constants::kRecordFormatPollInterval_s);  // until the second node has read the format
        EXPECT_EQ(phase_of(deployment.call(1, "POST", "/v2/runs/job-2/withdraw")), "withdrawn");
        EXPECT_EQ(deployment.call(1, "POST", "/v2/runs", job_body("job-3")).status, 200)
            << "the job was not accepted";
        EXPECT_FALSE(any_task_runs_twice(workers));
    }
}

// A job array with each task on its own machine, stored in format 1, is loaded, changed and written in format
// 2 through a failover until all tasks are done. Stopped tasks start again with new attempt numbers.
TEST(LowerStoreLimits, SpreadArrayOfFormat1CompletesWithinThem) {
    constexpr uint32_t kTasks = 150;
    Deployment deployment;
    announce_limits(deployment);
    deployment.configs[0].heartbeat_interval_s = 10;
    JobRecord record = running_array("job-1", kTasks, kTasks, 1);
    ASSERT_GT(json_text(record.pack(1)).size(), kLowerValueBytes);
    store_record(deployment, record);
    deployment.start(0);
    ASSERT_TRUE(deployment.run_until([&] { return deployment.store.rows.count("form") == 1; }));
    enforce_limits(deployment);
    auto workers = workers_of(record);
    ASSERT_EQ(workers.size(), kTasks);
    std::map<TaskName, uint64_t> newest_attempts;
    auto run_heartbeat_round = [&] {
        send_all_heartbeats(deployment, workers, 0);
        EXPECT_FALSE(any_task_runs_twice(workers));
        for (const auto& worker : workers)
            for (const auto& task : worker.tasks) {
                auto& attempt = newest_attempts[task.name];
                EXPECT_GE(task.attempt, attempt) << task.name.text();
                attempt = task.attempt;
            }
        if (!deployment.store.rows.contains("j/job-1")) return;
        EXPECT_LE(stored_bytes(deployment, "job-1"),
                  stored_format(deployment, "job-1") == 2 ? kLowerValueBytes : SIZE_MAX);
        EXPECT_EQ(deployment.call(0, "GET", "/v2/runs/job-1").status, 200);
    };
    for (int i = 0; i < 2; ++i) run_heartbeat_round();
    EXPECT_EQ(stored_format(deployment, "job-1"), 1U) << "loading must not rewrite a record";
    for (auto& worker : workers)
        for (auto& task : worker.tasks) {
            if (task.name.task % 3 == 0)
                exit_task(task, ExitCause::kDone);
            else if (task.name.task % 5 == 1)
                exit_task(task, ExitCause::kStopped);
        }
    run_heartbeat_round();
    EXPECT_TRUE(deployment.run_until([&] { return stored_format(deployment, "job-1") == 2; }, 2));
    for (int i = 0; i < 3; ++i) run_heartbeat_round();
    EXPECT_EQ(stored_record(deployment, "job-1").live.size(), kTasks - kTasks / 3)
        << "stopped tasks must run again";
    deployment.kill(0);
    deployment.start(0);
    ASSERT_TRUE(deployment.run_until([&] { return deployment.leader() == 0; }));
    for (int i = 0; i < 2; ++i) run_heartbeat_round();
    EXPECT_EQ(stored_record(deployment, "job-1").live.size(), kTasks - kTasks / 3);
    for (auto& worker : workers)
        for (auto& task : worker.tasks) exit_task(task, ExitCause::kDone);
    for (int i = 0; i < 3; ++i) run_heartbeat_round();
    EXPECT_EQ(phase_of(deployment.call(0, "GET", "/v2/runs/job-1")), "done");
    EXPECT_EQ(newest_attempts.size(), kTasks) << "unexpected number of tasks";
    EXPECT_EQ(deployment.store.invalid_transactions, 0);
}

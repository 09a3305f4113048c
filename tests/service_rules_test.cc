// Services under the rules of every start: a replica that is bound again keeps to them as the first one did,
// and a cancellation holds wherever the replicas are on their way.
#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "base/constants.h"
#include "scheduler/scheduler.h"
#include "standins/deployment.h"
#include "standins/scheduling_test.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

// Placements are bound by the scheduler alone; nothing is launched. One machine of each kind and zone.
struct Rebinding : ServiceTest {
    Rebinding() {
        MachineType large = small_machine_type();
        large.name = "g8";
        cluster.machine_types.push_back(large);
    }
    Job& add(const std::string& id, uint32_t replicas, const std::function<void(JobSpec&)>& change = {}) {
        JobSpec spec = service_spec(id, replicas);
        spec.priority = JobSpec{}.priority;
        spec.image = "img-1";
        if (change) change(spec);
        return add_job(std::move(spec));
    }
    // Passes follow each other until one binds nothing: of a job without a live task that has waited long, a
    // pass binds one.
    size_t bound(const std::vector<Machine*>& requesting_machines) {
        now += 60;  // no replica waits for an emptier machine any more
        size_t all = 0;
        while (size_t number = schedule_for(requesting_machines).size()) all += number;
        return all;
    }
};

}  // namespace

TEST_F(Rebinding, KeepsToZoneTypeAndKindOfMachine) {
    struct Rule {
        const char* what;
        std::function<void(JobSpec&)> set;
        const char *zone, *machine_type;
        bool spot;  // of a machine that breaks it
    };
    const Rule rules[] = {
        {"zone", [](JobSpec& spec) { spec.zone = std::string("a"); }, "b", "g2", false},
        {"type", [](JobSpec& spec) { spec.machine_types = {"g2"}; }, "a", "g8", false},
        {"kind", [](JobSpec&) {}, "a", "g2", true},
    };
    int n = 0;
    for (const Rule& rule : rules) {
        std::string id = "job-" + std::to_string(++n);
        Job& job = add(id, 2, rule.set);
        Machine &first = add_machine("first"),
                &wrong = add_machine("wrong", MachineKind{rule.machine_type, rule.zone, rule.spot});
        EXPECT_EQ(bound({&wrong}), 0U) << rule.what;
        ASSERT_EQ(bound({&first}), 2U) << rule.what;
        delete_machine(first.name);
        EXPECT_EQ(bound({&wrong}), 0U) << rule.what;
        EXPECT_EQ(job.pending.size(), 2U);
        Machine& right = add_machine("right");
        EXPECT_EQ(bound({&wrong, &right}), 2U) << rule.what;
        for (const auto& [task, p] : job.live) EXPECT_EQ(p.machine, "right") << rule.what;
        jobs.erase(id);
        cluster.machines.clear();
    }
}

// While one replica is where it was, the other's successor must come there too.
TEST_F(Rebinding, StaysInTheOneZoneOfTheOthers) {
    Job& job = add("job-1", 2, [](JobSpec& spec) { spec.single_zone = true; });
    Machine &first = add_machine("vm-1"), &y = add_machine("vm-2"), &other = add_machine("vm-3", "b");
    ASSERT_EQ(bound({&first}), 2U);
    jobs.stop(job, 0, StopMode::kSaveFirst);
    EXPECT_EQ(bound({&other}), 0U) << "both may still be live";
    // One has ended; the other is being stopped, and counts until it is gone.
    jobs.stop(job, 1, StopMode::kSaveFirst);
    report(first, {task_status("job-1", 0, job.live.at(0).attempt, TaskPhase::kExited, ExitCause::kStopped),
                   task_status("job-1", 1, job.live.at(1).attempt, TaskPhase::kRunning)});
    ASSERT_EQ(job.pending.size(), 1U);
    EXPECT_EQ(bound({&other}), 0U);
    EXPECT_EQ(bound({&y}), 1U);
    EXPECT_EQ(job.live.at(0).zone, "a");
    // With none left any zone will do.
    delete_machine(first.name);
    delete_machine(y.name);
    EXPECT_EQ(bound({&other}), 2U);
}

// At most half, rounded up, counted with predecessors that may still be live.
TEST_F(Rebinding, PutsHalfRoundedUpIntoAZone) {
    for (uint32_t replicas : {1U, 2U, 5U, 9U}) {
        uint32_t half = (replicas + 1) / 2;
        Job& job = add("job-1", replicas, [](JobSpec& spec) { spec.spread_across_zones = true; });
        Machine &in_a = add_machine("vm-1"), &b = add_machine("vm-2", "b"), &again = add_machine("vm-3");
        ASSERT_EQ(bound({&in_a}), half) << replicas;
        ASSERT_EQ(bound({&b}), replicas - half) << replicas;
        // Those of `b` move: until their exit is known they are there, and there is no room in `a`.
        for (const auto& [task, p] : job.live)
            if (p.machine == "vm-2") jobs.stop(job, task, StopMode::kSaveFirst);
        EXPECT_EQ(bound({&in_a, &again}), 0U) << replicas;
        delete_machine(b.name);
        EXPECT_EQ(bound({&in_a, &again}), 0U) << replicas;
        EXPECT_EQ(job.pending.size(), replicas - half);
        Machine& b2 = add_machine("vm-4", "b");
        EXPECT_EQ(bound({&b2}), replicas - half) << replicas;
        // Those of `a` are lost: their successors may come back to it, and no more of them than half.
        delete_machine(in_a.name);
        EXPECT_EQ(bound({&again}), half) << replicas;
        jobs.erase("job-1");
        cluster.machines.clear();
    }
}

// A replica that is being moved, or whose machine is silent, uses its team's limit until it is gone.
TEST_F(Rebinding, KeepsTheLimitWhileAPredecessorMayBeLive) {
    for (bool cpus : {true, false}) {
        config.teams[0].cpus_max = cpus ? 4 : 0;
        config.teams[0].gpus_max = cpus ? 0 : 2;
        auto amount = [&](JobSpec& spec) { spec.gpus = cpus ? 0 : 0.5; };
        Job& job = add("job-1", 4, amount);
        Machine &first = add_machine("vm-1"), &y = add_machine("vm-2");
        ASSERT_EQ(bound({&first}), 4U);
        add("job-2", 1, [&](JobSpec& spec) {
            amount(spec);
            spec.kind = JobKind::kArray;
        });
        add("job-3", 1, amount);
        for (uint32_t task = 0; task < 4; ++task) jobs.stop(job, task, StopMode::kSaveFirst);
        EXPECT_EQ(bound({&y}), 0U) << "stopping is not gone";
        first.has_current_token = false;
        now += 500;
        EXPECT_EQ(bound({&y}), 0U) << "nor is silence";
        delete_machine(first.name);
        EXPECT_EQ(bound({&y}), 4U) << "and then no more than the limit";
        // An attempt that no placement accounts for still takes its part.
        MachineTask has_unplaced_task;
        has_unplaced_task.name = {"job-9", 0};
        has_unplaced_task.attempt = 1;
        has_unplaced_task.phase = TaskPhase::kRunning;
        has_unplaced_task.size_known = true;
        has_unplaced_task.team = "team";
        has_unplaced_task.amount = {1, cpus ? 0 : 0.5, 2};
        Machine& third = add_machine("vm-3");
        third.tasks = {has_unplaced_task};
        jobs.machine_deleted("vm-2", now);
        EXPECT_EQ(bound({&y}), 3U);
        for (const char* id : {"job-1", "job-2", "job-3"}) jobs.erase(id);
        cluster.machines.clear();
    }
}

namespace {

struct State {
    std::string phase;
    uint64_t done = 0, running = 0;
    bool operator==(const State&) const = default;
};

State state_of(const Answer& answer) {
    auto m = Message::parse(answer.body);
    if (!m) return {};
    return {m->root()["phase"].text_or(""), m->root()["done"].count_or(0), m->root()["running"].count_or(0)};
}

}  // namespace

// All replicas run at once, so that all of them count; of an array's tasks one is enough.
TEST(ServiceAnswers, RefuseOneThatNeedsMoreThanItsTeamMayUse) {
    Deployment deployment;
    deployment.configs[0].teams[0].gpus_max = 8;
    deployment.configs[0].teams[0].cpus_max = 20;
    deployment.start(0);
    ASSERT_TRUE(deployment.until([&] { return deployment.leader() == 0; }));
    deployment.run(1);
    auto submit = [&](const std::string& body) {
        return deployment.call(0, "POST", "/v2/runs", body).status;
    };
    EXPECT_EQ(submit(service_body("job-1", 9, 1, 1)), 422) << "nine of eight GPUs";
    EXPECT_EQ(submit(service_body("job-1", 21)), 422) << "21 of 20 CPUs";
    EXPECT_EQ(submit(service_body("job-1", 1, 17)), 422) << "no machine has as many";
    EXPECT_EQ(deployment.call(0, "GET", "/v2/runs/job-1").status, 404);
    EXPECT_EQ(submit(service_body("job-1", 8, 1, 1)), 201);
    EXPECT_EQ(submit(service_body("job-2", 20)), 201) << "each by itself; together they wait for each other";
    EXPECT_EQ(submit(service_body("job-1", 21)), 200) << "known for ever, whatever the repeat says";
    EXPECT_EQ(submit(job_body("job-3", [](auto& fields) { set_tasks(fields, 9); })), 201);
}

// A poll counts replicas that are on machines and none that is done; a repeated submission gets the state at
// that time.
TEST(ServiceAnswers, CountReplicasAndRepeatTheStateToWhomeverAsksAgain) {
    Deployment deployment(2);
    ASSERT_TRUE(deployment.start_and_elect());
    int lead = deployment.leader(), other = 1 - lead;
    deployment.run(1);
    const std::string body = service_body("job-1", 3, 8);
    ASSERT_EQ(deployment.call(other, "POST", "/v2/runs", body).status, 201);
    auto poll = [&] { return state_of(deployment.call(other, "GET", "/v2/runs/job-1")); };
    auto repeated = [&] {
        Answer answer = deployment.call(other, "POST", "/v2/runs", body);
        EXPECT_EQ(answer.status, 200);
        return state_of(answer).phase;
    };
    EXPECT_EQ(poll(), (State{"pending", 0, 0}));
    EXPECT_EQ(repeated(), "pending");
    std::vector<FakeWorker> workers(2);
    workers[1].name = "vm-000002";
    for (const FakeWorker& worker : workers) deployment.list_machine(worker);
    auto report = [&](FakeWorker& worker) {
        for (int i = 0; i < 2; ++i) deployment.send_report(worker, lead);
        deployment.run(0.5);
    };
    deployment.settle(workers[0]);
    report(workers[0]);
    ASSERT_EQ(workers[0].live_tasks(), 2U) << "no more fit";
    EXPECT_EQ(poll(), (State{"running", 0, 2}));
    deployment.settle(workers[1]);
    report(workers[1]);
    EXPECT_EQ(poll(), (State{"running", 0, 3}));
    // All exit as if they were done.
    Seconds steady = deployment.loop.now() + constants::kReplicaSteady_s;
    while (deployment.loop.now() < steady)
        for (auto& worker : workers) report(worker);
    for (auto& worker : workers) {
        report(worker);
        for (auto& task : worker.tasks) {
            exit_task(task, ExitCause::kDone);
        }
    }
    for (int i = 0; i < 2; ++i)
        for (auto& worker : workers) report(worker);
    EXPECT_EQ(poll(), (State{"running", 0, 3})) << "started again, and none is done";
    EXPECT_EQ(repeated(), "running");
    EXPECT_EQ(state_of(deployment.call(other, "POST", "/v2/runs/job-1/withdraw")).phase, "withdrawn");
    EXPECT_EQ(repeated(), "withdrawn");
    for (int i = 0; i < 2; ++i)
        for (auto& worker : workers) report(worker);
    deployment.run(1);
    EXPECT_EQ(deployment.store.rows.count("f/job-1"), 1U);
    EXPECT_EQ(repeated(), "withdrawn");
    EXPECT_EQ(poll(), (State{"withdrawn", 0, 0}));
}

namespace {

// Where the replicas' move has got to when their user cancels.
enum class Move {
    kPredecessorsStopping,  // told to stop, exits not reported
    kPredecessorsHang,      // told to stop, and nothing is heard of their machine again
    kSuccessorsBound,       // the exits are reported and the successors kept, but nobody was told of that
    kSuccessorsLaunched,    // they run, and no report has said so
    kLeaderGone,            // as the first, and the leader ends with the cancellation
};

class ServiceMoves : public testing::TestWithParam<Move> {};

}  // namespace

TEST_P(ServiceMoves, ACancellationStartsNothingAndEndsAllInTime) {
    constexpr uint32_t kReplicas = 3;
    const Move move = GetParam();
    Deployment deployment(2);
    ASSERT_TRUE(deployment.start_and_elect());
    int lead = deployment.leader();
    deployment.run(1);
    FakeWorker from, to;
    from.spot = true;
    to.name = "vm-000002";
    for (const FakeWorker* worker : {&from, &to}) deployment.list_machine(*worker);
    deployment.settle(from);
    ASSERT_EQ(deployment
                  .call(lead, "POST", "/v2/runs",
                        job_body("job-1",
                                 [](auto& fields) {
                                     fields["shape"] = packed_text("standing");
                                     set_tasks(fields, kReplicas);
                                     fields["vcpus"] = packed_number(1);
                                     fields["cards"] = fields["snapshot_s"] = fields["flush_s"] =
                                         packed_number(0);
                                     fields["driftwood"] = packed_flag(true);
                                 }))
                  .status,
              201);
    for (int i = 0; i < 4; ++i) deployment.send_report(from, lead);
    ASSERT_EQ(from.live_tasks(), kReplicas);
    deployment.settle(to);
    ASSERT_EQ(to.live_tasks(), 0U);

    // The notice moves all of them at once.
    from.notice_s = 60;
    std::vector<TaskStatus> running = from.tasks;
    deployment.send_report(from, lead);
    ASSERT_EQ(from.live_tasks(), 0U) << "told to stop in the answer";
    bool exits_known = move == Move::kSuccessorsBound || move == Move::kSuccessorsLaunched;
    if (exits_known) {
        deployment.send_report(from, lead);
        deployment.run(0.5);
        if (move == Move::kSuccessorsBound)
            deployment.store.let_through = [&](const std::string& txn) {
                if (txn.find("leader") == std::string::npos) return true;
                deployment.store.apply(txn);  // only its answer is lost
                return false;
            };
        for (int i = 0; i < 3 && to.live_tasks() < kReplicas; ++i) deployment.send_report(to, lead);
        deployment.store.let_through = {};
        ASSERT_EQ(to.live_tasks(), move == Move::kSuccessorsBound ? 0 : kReplicas);
        EXPECT_EQ(state_of(deployment.call(lead, "GET", "/v2/runs/job-1")).running, kReplicas);
    } else {
        from.tasks = running;  // they take their time
    }

    int asked = move == Move::kLeaderGone ? 1 - lead : lead;
    ASSERT_EQ(state_of(deployment.call(asked, "POST", "/v2/runs/job-1/withdraw")).phase, "withdrawn");
    Seconds announced = deployment.loop.now();
    if (move == Move::kLeaderGone) {
        deployment.kill(lead);
        deployment.store.expire_lease(deployment.store.rows.at("leader").lease);
        ASSERT_TRUE(deployment.until([&] { return deployment.leader() == asked; }));
        lead = asked;
    }
    auto gone = [&](const FakeWorker& worker) {
        return worker.live_tasks() == 0 ||
               std::count(deployment.cloud.deleted.begin(), deployment.cloud.deleted.end(), worker.name) > 0;
    };
    std::set<std::pair<TaskName, uint64_t>> before;
    for (const FakeWorker* worker : {&from, &to})
        for (const auto& task : worker->tasks) before.insert({task.name, task.attempt});
    Seconds all_gone = -1;
    while (deployment.loop.now() < announced + deployment.configs[0].cancel_s) {
        if (move != Move::kPredecessorsHang) deployment.send_report(from, lead);
        deployment.send_report(to, lead);
        for (const FakeWorker* worker : {&from, &to})
            for (const auto& task : worker->tasks)
                EXPECT_TRUE(before.count({task.name, task.attempt})) << "started after the cancellation";
        if (gone(from) && gone(to) && all_gone < 0) all_gone = deployment.loop.now();
        deployment.run(1);
    }
    ASSERT_GE(all_gone, 0) << "something is still there";
    EXPECT_LT(all_gone, announced + deployment.configs[0].cancel_s);
    EXPECT_EQ(state_of(deployment.call(lead, "GET", "/v2/runs/job-1")), (State{"withdrawn", 0, 0}));
    EXPECT_EQ(deployment.store.rows.count("f/job-1"), 1U);
}

INSTANTIATE_TEST_SUITE_P(All, ServiceMoves,
                         testing::Values(Move::kPredecessorsStopping, Move::kPredecessorsHang,
                                         Move::kSuccessorsBound, Move::kSuccessorsLaunched,
                                         Move::kLeaderGone));

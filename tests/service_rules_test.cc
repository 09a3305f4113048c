// Services under the rules of every start: a replica that is bound again keeps to them as the first one did,
// and a cancellation holds wherever the replicas are on their way.
#include <algorithm>
#include <set>

#include "base/constants.h"
#include "scheduler/scheduler.h"
#include "standins.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

// Placements are bound by the scheduler alone; nothing is launched. One machine of each kind and zone.
struct Rebinding : testing::Test {
    Config config;
    Settings settings;
    Cluster cluster;
    JobTable jobs;
    Seconds now = 100;

    Rebinding() {
        config.zones = {"a", "b"};
        Team t;
        t.name = "team";
        config.teams = {t};
        config.heartbeat_interval_s = 4;
        config.lease_s = 24;
        config.value_bytes = 8192;
        MachineType large = small_machine_type();
        large.name = "g8";
        cluster.machine_types = {small_machine_type(), large};
    }
    Machine& machine(const std::string& name, const std::string& zone = "a",
                     const std::string& machine_type = "g2", bool spot = false) {
        Machine& h = cluster.ensure(name, now);
        h.zone = zone;
        h.machine_type = machine_type;
        h.spot = spot;
        h.reported = h.current = true;
        return h;
    }
    Job& add(const std::string& id, uint32_t replicas, const std::function<void(JobSpec&)>& change = {},
             JobKind shape = JobKind::kService) {
        JobRecord r;
        r.spec.id = id;
        r.spec.team = "team";
        r.spec.kind = shape;
        r.spec.tasks = replicas;
        r.spec.cpus = 1;
        r.spec.memory_gb = 2;
        r.spec.image = "img-1";
        if (change) change(r.spec);
        Job& j = jobs.load(r, 5, now, {0});
        j.accepted = j.waiting_since = now;
        return j;
    }
    // Long enough that no replica waits for an emptier machine.
    // Passes follow each other until one binds nothing: of a job without a live task that has waited long, a
    // pass binds one.
    size_t bound(const std::vector<Machine*>& requesting_machines) {
        now += 60;
        for (auto& [name, h] : cluster.machines) h->last_heartbeat = now;
        size_t all = 0;
        while (true) {
            recount(cluster, jobs, now, 8);
            size_t n =
                schedule(cluster, jobs, {config, settings, now, requesting_machines, kNewestRecordFormat})
                    .size();
            if (n == 0) return all;
            all += n;
        }
    }
    void lose(Machine& h) {
        std::string name = h.name;
        jobs.machine_deleted(name, now);
        cluster.machines.erase(name);
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
        {"zone", [](JobSpec& s) { s.zone = std::string("a"); }, "b", "g2", false},
        {"type", [](JobSpec& s) { s.machine_types = {"g2"}; }, "a", "g8", false},
        {"kind", [](JobSpec&) {}, "a", "g2", true},
    };
    int n = 0;
    for (const Rule& rule : rules) {
        std::string id = "job-" + std::to_string(++n);
        Job& j = add(id, 2, rule.set);
        Machine &first = machine("first"), &wrong = machine("wrong", rule.zone, rule.machine_type, rule.spot);
        EXPECT_EQ(bound({&wrong}), 0U) << rule.what;
        ASSERT_EQ(bound({&first}), 2U) << rule.what;
        lose(first);
        EXPECT_EQ(bound({&wrong}), 0U) << rule.what;
        EXPECT_EQ(j.pending.size(), 2U);
        Machine& right = machine("right");
        EXPECT_EQ(bound({&wrong, &right}), 2U) << rule.what;
        for (const auto& [task, p] : j.live) EXPECT_EQ(p.machine, "right") << rule.what;
        jobs.erase(id);
        cluster.machines.clear();
    }
}

// While one replica is where it was, the other's successor must come there too.
TEST_F(Rebinding, StaysInTheOneZoneOfTheOthers) {
    Job& j = add("job-1", 2, [](JobSpec& s) { s.single_zone = true; });
    Machine &x = machine("vm-1"), &y = machine("vm-2"), &other = machine("vm-3", "b");
    ASSERT_EQ(bound({&x}), 2U);
    jobs.stop(j, 0, now);
    EXPECT_EQ(bound({&other}), 0U) << "both may still be live";
    // One has ended; the other is being stopped, and counts until it is gone.
    jobs.stop(j, 1, now);
    WorkerHeartbeat r;
    r.machine = "vm-1";
    r.zone = "a";
    r.machine_type = "g2";
    r.incarnation = 1;
    r.sequence = 1;
    for (uint32_t task : {0U, 1U}) {
        TaskStatus t;
        t.name.job = j.spec.id;
        t.name.task = task;
        t.attempt = j.live.at(task).attempt;
        t.phase = task == 0 ? TaskPhase::kExited : TaskPhase::kRunning;
        t.cause = task == 0 ? ExitCause::kStopped : ExitCause::kNone;
        r.tasks.push_back(t);
    }
    jobs.apply(cluster, x, r, true, now);
    ASSERT_EQ(j.pending.size(), 1U);
    EXPECT_EQ(bound({&other}), 0U);
    EXPECT_EQ(bound({&y}), 1U);
    EXPECT_EQ(j.live.at(0).zone, "a");
    // With none left any zone will do.
    lose(x);
    lose(y);
    EXPECT_EQ(bound({&other}), 2U);
}

// At most half, rounded up, counted with predecessors that may still be live.
TEST_F(Rebinding, PutsHalfRoundedUpIntoAZone) {
    for (uint32_t replicas : {1U, 2U, 5U, 9U}) {
        uint32_t half = (replicas + 1) / 2;
        Job& j = add("job-1", replicas, [](JobSpec& s) { s.spread_across_zones = true; });
        Machine &a = machine("vm-1"), &b = machine("vm-2", "b"), &again = machine("vm-3");
        ASSERT_EQ(bound({&a}), half) << replicas;
        ASSERT_EQ(bound({&b}), replicas - half) << replicas;
        // Those of `b` move: until their exit is known they are there, and there is no room in `a`.
        for (const auto& [task, p] : j.live)
            if (p.machine == "vm-2") jobs.stop(j, task, now);
        EXPECT_EQ(bound({&a, &again}), 0U) << replicas;
        lose(b);
        EXPECT_EQ(bound({&a, &again}), 0U) << replicas;
        EXPECT_EQ(j.pending.size(), replicas - half);
        Machine& b2 = machine("vm-4", "b");
        EXPECT_EQ(bound({&b2}), replicas - half) << replicas;
        // Those of `a` are lost: their successors may come back to it, and no more of them than half.
        lose(a);
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
        auto amount = [&](JobSpec& s) { s.gpus = cpus ? 0 : 0.5; };
        Job& j = add("job-1", 4, amount);
        Machine &x = machine("vm-1"), &y = machine("vm-2");
        ASSERT_EQ(bound({&x}), 4U);
        add("job-2", 1, amount, JobKind::kArray);
        add("job-3", 1, amount);
        for (uint32_t task = 0; task < 4; ++task) jobs.stop(j, task, now);
        EXPECT_EQ(bound({&y}), 0U) << "stopping is not gone";
        x.current = false;
        now += 500;
        EXPECT_EQ(bound({&y}), 0U) << "nor is silence";
        lose(x);
        EXPECT_EQ(bound({&y}), 4U) << "and then no more than the limit";
        // An attempt that no placement accounts for still takes its part.
        MachineTask has_unplaced_task;
        has_unplaced_task.name = {"job-9", 0};
        has_unplaced_task.attempt = 1;
        has_unplaced_task.phase = TaskPhase::kRunning;
        has_unplaced_task.sized = true;
        has_unplaced_task.team = "team";
        has_unplaced_task.amount = {1, cpus ? 0 : 0.5, 2};
        Machine& z = machine("vm-3");
        z.tasks = {has_unplaced_task};
        jobs.machine_deleted("vm-2", now);
        EXPECT_EQ(bound({&y}), 3U);
        for (const char* id : {"job-1", "job-2", "job-3"}) jobs.erase(id);
        cluster.machines.clear();
    }
}

namespace {

std::string service_body(const std::string& id, uint32_t replicas, double cpus = 1, double gpus = 0) {
    return job_body(id, [&](auto& f) {
        f["shape"] = Packer().text("standing").take();
        f["pieces"] = Packer().count(replicas).take();
        f["vcpus"] = Packer().number(cpus).take();
        f["cards"] = Packer().number(gpus).take();
        for (const char* field : {"expect_s", "snapshot_s", "flush_s"}) f[field] = Packer().number(0).take();
        f["rank"] = Packer().text("production").take();
    });
}

struct State {
    std::string phase;
    uint64_t done = 0, running = 0;
    bool operator==(const State&) const = default;
};

State state_of(const Answer& a) {
    auto m = Message::parse(a.body);
    if (!m) return {};
    return {m->root()["phase"].text_or(""), m->root()["done"].count_or(0), m->root()["running"].count_or(0)};
}

size_t live_tasks(const FakeWorker& w) {
    return static_cast<size_t>(std::count_if(
        w.tasks.begin(), w.tasks.end(), [](const TaskStatus& t) { return t.phase != TaskPhase::kExited; }));
}

}  // namespace

// All replicas run at once, so that all of them count; of an array's tasks one is enough.
TEST(ServiceAnswers, RefuseOneThatNeedsMoreThanItsTeamMayUse) {
    Site s;
    s.configs[0].teams[0].gpus_max = 8;
    s.configs[0].teams[0].cpus_max = 20;
    s.start(0);
    ASSERT_TRUE(s.until([&] { return s.leader() == 0; }));
    s.run(1);
    auto submit = [&](const std::string& body) { return s.call(0, "POST", "/v2/runs", body).status; };
    EXPECT_EQ(submit(service_body("job-1", 9, 1, 1)), 422) << "nine of eight GPUs";
    EXPECT_EQ(submit(service_body("job-1", 21)), 422) << "21 of 20 CPUs";
    EXPECT_EQ(submit(service_body("job-1", 1, 17)), 422) << "no machine has as many";
    EXPECT_EQ(s.call(0, "GET", "/v2/runs/job-1").status, 404);
    EXPECT_EQ(submit(service_body("job-1", 8, 1, 1)), 201);
    EXPECT_EQ(submit(service_body("job-2", 20)), 201) << "each by itself; together they wait for each other";
    EXPECT_EQ(submit(service_body("job-1", 21)), 200) << "known for ever, whatever the repeat says";
    EXPECT_EQ(submit(job_body("job-3", [](auto& f) { f["pieces"] = Packer().count(9).take(); })), 201);
}

// A poll counts replicas that are on machines and none that is done; a repeated submission gets the state at
// that time.
TEST(ServiceAnswers, CountReplicasAndRepeatTheStateToWhomeverAsksAgain) {
    Site s(2);
    s.start(0);
    s.start(1);
    ASSERT_TRUE(s.until([&] { return s.leader() >= 0; }));
    int lead = s.leader(), other = 1 - lead;
    s.run(1);
    const std::string body = service_body("job-1", 3, 8);
    ASSERT_EQ(s.call(other, "POST", "/v2/runs", body).status, 201);
    auto poll = [&] { return state_of(s.call(other, "GET", "/v2/runs/job-1")); };
    auto repeated = [&] {
        Answer a = s.call(other, "POST", "/v2/runs", body);
        EXPECT_EQ(a.status, 200);
        return state_of(a).phase;
    };
    EXPECT_EQ(poll(), (State{"pending", 0, 0}));
    EXPECT_EQ(repeated(), "pending");
    std::vector<FakeWorker> workers(2);
    workers[1].name = "vm-000002";
    for (const FakeWorker& w : workers)
        s.cloud.machines[w.name] = {w.name, w.addr, w.machine_type, w.zone, w.spot, MachinePhase::kRunning,
                                    100};
    auto report = [&](FakeWorker& w) {
        for (int i = 0; i < 2; ++i) s.send_report(w, lead);
        s.run(0.5);
    };
    s.settle(workers[0]);
    report(workers[0]);
    ASSERT_EQ(live_tasks(workers[0]), 2U) << "no more fit";
    EXPECT_EQ(poll(), (State{"running", 0, 2}));
    s.settle(workers[1]);
    report(workers[1]);
    EXPECT_EQ(poll(), (State{"running", 0, 3}));
    // All exit as if they were done.
    Seconds steady = s.loop.now() + constants::kReplicaSteady_s;
    while (s.loop.now() < steady)
        for (auto& w : workers) report(w);
    for (auto& w : workers) {
        report(w);
        for (auto& t : w.tasks) {
            t.phase = TaskPhase::kExited;
            t.cause = ExitCause::kDone;
        }
    }
    for (int i = 0; i < 2; ++i)
        for (auto& w : workers) report(w);
    EXPECT_EQ(poll(), (State{"running", 0, 3})) << "started again, and none is done";
    EXPECT_EQ(repeated(), "running");
    EXPECT_EQ(state_of(s.call(other, "POST", "/v2/runs/job-1/withdraw")).phase, "withdrawn");
    EXPECT_EQ(repeated(), "withdrawn");
    for (int i = 0; i < 2; ++i)
        for (auto& w : workers) report(w);
    s.run(1);
    EXPECT_EQ(s.state.rows.count("f/job-1"), 1U);
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
    Site s(2);
    s.start(0);
    s.start(1);
    ASSERT_TRUE(s.until([&] { return s.leader() >= 0; }));
    int lead = s.leader();
    s.run(1);
    FakeWorker from, to;
    from.spot = true;
    to.name = "vm-000002";
    for (const FakeWorker* w : {&from, &to})
        s.cloud.machines[w->name] = {
            w->name, w->addr, w->machine_type, w->zone, w->spot, MachinePhase::kRunning, 100};
    s.settle(from);
    ASSERT_EQ(s.call(lead, "POST", "/v2/runs",
                     job_body("job-1",
                              [](auto& f) {
                                  f["shape"] = Packer().text("standing").take();
                                  f["pieces"] = Packer().count(kReplicas).take();
                                  f["vcpus"] = Packer().number(1).take();
                                  f["cards"] = f["snapshot_s"] = f["flush_s"] = Packer().number(0).take();
                                  f["driftwood"] = Packer().flag(true).take();
                              }))
                  .status,
              201);
    for (int i = 0; i < 4; ++i) s.send_report(from, lead);
    ASSERT_EQ(live_tasks(from), kReplicas);
    s.settle(to);
    ASSERT_EQ(live_tasks(to), 0U);

    // The notice moves all of them at once.
    from.notice_s = 60;
    std::vector<TaskStatus> running = from.tasks;
    s.send_report(from, lead);
    ASSERT_EQ(live_tasks(from), 0U) << "told to stop in the answer";
    bool exits_known = move == Move::kSuccessorsBound || move == Move::kSuccessorsLaunched;
    if (exits_known) {
        s.send_report(from, lead);
        s.run(0.5);
        if (move == Move::kSuccessorsBound)
            s.state.let_through = [&](const std::string& txn) {
                if (txn.find("leader") == std::string::npos) return true;
                s.state.apply(txn);  // only its answer is lost
                return false;
            };
        for (int i = 0; i < 3 && live_tasks(to) < kReplicas; ++i) s.send_report(to, lead);
        s.state.let_through = {};
        ASSERT_EQ(live_tasks(to), move == Move::kSuccessorsBound ? 0 : kReplicas);
        EXPECT_EQ(state_of(s.call(lead, "GET", "/v2/runs/job-1")).running, kReplicas);
    } else {
        from.tasks = running;  // they take their time
    }

    int asked = move == Move::kLeaderGone ? 1 - lead : lead;
    ASSERT_EQ(state_of(s.call(asked, "POST", "/v2/runs/job-1/withdraw")).phase, "withdrawn");
    Seconds announced = s.loop.now();
    if (move == Move::kLeaderGone) {
        s.kill(lead);
        s.state.end_lease(s.state.rows.at("leader").lease);
        ASSERT_TRUE(s.until([&] { return s.leader() == asked; }));
        lead = asked;
    }
    auto gone = [&](const FakeWorker& w) {
        return live_tasks(w) == 0 || std::count(s.cloud.deleted.begin(), s.cloud.deleted.end(), w.name) > 0;
    };
    std::set<std::pair<TaskName, uint64_t>> before;
    for (const FakeWorker* w : {&from, &to})
        for (const auto& t : w->tasks) before.insert({t.name, t.attempt});
    Seconds all_gone = -1;
    while (s.loop.now() < announced + s.configs[0].cancel_s) {
        if (move != Move::kPredecessorsHang) s.send_report(from, lead);
        s.send_report(to, lead);
        for (const FakeWorker* w : {&from, &to})
            for (const auto& t : w->tasks)
                EXPECT_TRUE(before.count({t.name, t.attempt})) << "started after the cancellation";
        if (gone(from) && gone(to) && all_gone < 0) all_gone = s.loop.now();
        s.run(1);
    }
    ASSERT_GE(all_gone, 0) << "something is still there";
    EXPECT_LT(all_gone, announced + s.configs[0].cancel_s);
    EXPECT_EQ(state_of(s.call(lead, "GET", "/v2/runs/job-1")), (State{"withdrawn", 0, 0}));
    EXPECT_EQ(s.state.rows.count("f/job-1"), 1U);
}

INSTANTIATE_TEST_SUITE_P(All, ServiceMoves,
                         testing::Values(Move::kPredecessorsStopping, Move::kPredecessorsHang,
                                         Move::kSuccessorsBound, Move::kSuccessorsLaunched,
                                         Move::kLeaderGone));

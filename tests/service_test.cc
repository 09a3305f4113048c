// Services: replicas that run until their job is cancelled. Without I/O, then through a whole controller.
#include <gtest/gtest.h>

#include <algorithm>

#include "base/constants.h"
#include "fleet/scaling_plan.h"
#include "jobs/resource_accounting.h"
#include "scheduler/scheduler.h"
#include "standins.h"
#include "users/wire.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

struct Service : testing::Test {
    Config config;
    Settings settings;
    Cluster cluster;
    JobTable jobs;
    Seconds now = 100;

    Service() {
        config.zones = {"a", "b"};
        Team t;
        t.name = "team";
        config.teams = {t};
        config.heartbeat_interval_s = 4;
        config.lease_s = 24;
        config.value_bytes = 8192;
        config.cloud_rps = 6;
        cluster.machine_types = {small_machine_type()};
    }

    static JobSpec service(const std::string& id, uint32_t replicas) {
        JobSpec s;
        s.id = id;
        s.team = "team";
        s.kind = JobKind::kService;
        s.priority = PriorityClass::kProduction;
        s.tasks = replicas;
        s.cpus = 1;
        s.memory_gb = 2;
        s.image = "img-" + id;
        return s;
    }
    // Work that takes all of a machine's CPUs.
    static JobSpec batch(const std::string& id, uint32_t tasks, PriorityClass rank) {
        JobSpec s;
        s.id = id;
        s.team = "team";
        s.priority = rank;
        s.tasks = tasks;
        s.cpus = 16;
        s.gpus = 1;
        s.memory_gb = 8;
        s.image = "img-" + id;
        s.estimate_s = 500;
        s.checkpoint_s = 10;
        s.save_s = 2;
        return s;
    }
    Job& add(JobSpec s) {
        JobRecord r;
        r.spec = std::move(s);
        Job& j = jobs.load(r, 5, now, {0});
        j.accepted = j.waiting_since = now;
        return j;
    }
    Machine& machine(const std::string& name, const std::string& zone = "a", bool spot = false) {
        Machine& h = cluster.ensure(name, now);
        h.zone = zone;
        h.machine_type = "g2";
        h.spot = spot;
        h.reported = h.current = true;
        reported(h);
        return h;
    }
    // What the machine has besides exits, as it would report it.
    std::map<std::string, std::vector<TaskStatus>> on;
    void reported(Machine& h) {
        WorkerHeartbeat r;
        r.machine = h.name;
        r.zone = h.zone;
        r.machine_type = "g2";
        r.spot = h.spot;
        r.incarnation = 1;
        r.sequence = h.sequence + 1;
        r.tasks = on[h.name];
        jobs.apply(cluster, h, r, true, now);
    }
    // Binds, commits, launches and reports the replicas as running.
    size_t started(std::vector<Machine*> requesting_machines) {
        size_t n = pull(requesting_machines).size();
        for (auto& [name, h] : cluster.machines) carry_out(*h);
        return n;
    }
    void carry_out(Machine& h) {
        for (auto& [id, j] : jobs.all()) j->committed = j->version;
        auto& list = on[h.name];
        for (const Command& o : jobs.commands(h, true)) {
            auto it = std::find_if(list.begin(), list.end(), [&](const TaskStatus& t) {
                return t.name == o.name && t.attempt == o.attempt;
            });
            if (o.verb == CommandKind::kLaunch && it == list.end())
                list.push_back({o.name, o.attempt, TaskPhase::kRunning, ExitCause::kNone, false});
            if (o.verb == CommandKind::kStop && it != list.end()) {
                it->phase = TaskPhase::kExited;
                it->cause = ExitCause::kStopped;
            }
            if (o.verb == CommandKind::kForget && it != list.end()) list.erase(it);
        }
        reported(h);
    }
    void ends(Machine& h, ExitCause cause) {
        for (auto& t : on[h.name]) {
            t.phase = TaskPhase::kExited;
            t.cause = cause;
        }
        reported(h);
    }
    std::vector<Binding> pull(std::vector<Machine*> requesting_machines) {
        for (auto& [n, h] : cluster.machines) h->last_heartbeat = now;
        recount(cluster, jobs, now, 8);
        return schedule(cluster, jobs,
                        {config, settings, now, std::move(requesting_machines), kNewestRecordFormat});
    }
    ScalingPlan plan() {
        for (auto& [n, h] : cluster.machines) h->last_heartbeat = now;
        recount(cluster, jobs, now, 8);
        return plan_scaling(cluster, jobs, {config, settings, now, 0, {}, {}, false});
    }
    static std::map<std::string, int> by(const Job& j, std::string Placement::*what) {
        std::map<std::string, int> n;
        for (const auto& [task, p] : j.live) ++n[p.*what];
        return n;
    }
    static size_t stopping(const Job& j) {
        return static_cast<size_t>(
            std::count_if(j.live.begin(), j.live.end(), [](const auto& l) { return l.second.stopping; }));
    }
};

}  // namespace

TEST_F(Service, IsNeverDoneWhateverItsReplicasReport) {
    Job& j = add(service("job-1", 1));
    Machine& h = machine("vm-1");
    ASSERT_EQ(started({&h}), 1u);
    for (ExitCause cause : {ExitCause::kDone, ExitCause::kError, ExitCause::kStopped, ExitCause::kNoRoom,
                            ExitCause::kBusy, ExitCause::kUnknownJob}) {
        uint64_t attempt = j.live.at(0).attempt;
        now += 60;
        reported(h);
        ends(h, cause);
        EXPECT_FALSE(j.finished());
        EXPECT_TRUE(j.done.empty()) << "a poll would count it";
        EXPECT_EQ(j.record().phase(), JobPhase::kPending);
        auto o = jobs.commands(h, true);
        EXPECT_TRUE(o.empty()) << "an exit is forgotten only once what came of it is committed";
        ASSERT_EQ(started({&h}), 1u) << "it ran for a while: it is started again at once, also here";
        EXPECT_GT(j.live.at(0).attempt, attempt);
        carry_out(h);  // launched, after the old attempt was forgotten
        ASSERT_EQ(j.live.size(), 1u);
    }
    // An exit `done` of an attempt that was given up, too.
    on[h.name] = {{{"job-1", 0}, 1, TaskPhase::kExited, ExitCause::kDone, false}};
    jobs.machine_deleted("vm-1", now);
    reported(h);
    EXPECT_TRUE(j.done.empty());
    // And what an earlier version took for done.
    JobRecord r;
    r.spec = service("job-2", 2);
    r.done.add(0);
    Job& old = jobs.load(r, 5, now, {0});
    EXPECT_EQ(old.pending.size(), 2u);
    jobs.cancel(j, now);
    EXPECT_EQ(j.record().phase(), JobPhase::kCancelled);
}

// Replaced as soon as it cannot be live any more, and no sooner.
TEST_F(Service, ReplacesAReplicaWhoseMachineIsGoneOnlyOnceThatIsCertain) {
    Job& j = add(service("job-1", 1));
    Machine &x = machine("vm-1"), &y = machine("vm-2");
    ASSERT_EQ(started({&x}), 1u);
    now += 500;
    EXPECT_TRUE(pull({&y}).empty()) << "silent, its machine may still run it";
    jobs.machine_deleted("vm-1", now);
    cluster.machines.erase("vm-1");
    ASSERT_EQ(pull({&y}).size(), 1u);
    EXPECT_EQ(j.live.at(0).machine, "vm-2");
    // Lost with its worker's lease: a newer report lacks it.
    carry_out(y);
    on["vm-2"].clear();
    reported(y);
    EXPECT_EQ(j.pending.size(), 1u);
}

TEST_F(Service, EndsNoOtherWorkAndYieldsToNone) {
    Machine& h = machine("vm-1");
    JobSpec low = service("job-1", 4);
    low.priority = PriorityClass::kIdle;
    low.cpus = 4;
    Job& j = add(low);
    settings.preempt_after_s = 0;
    now += 10;
    ASSERT_EQ(started({&h}), 4u);
    now += 60;
    JobSpec g = batch("job-2", 1, PriorityClass::kProduction);
    g.kind = JobKind::kGang;
    add(g);
    pull({&h});
    EXPECT_EQ(stopping(j), 0u);
}

// Nor is it expected to come free by itself, whatever its user gave as an estimate.
TEST_F(Service, IsNoRoomToCountOn) {
    Machine &x = machine("vm-1"), &y = machine("vm-2");
    JobSpec s = service("job-1", 1);
    s.cpus = 16;
    s.gpus = 1;
    s.memory_gb = 8;
    s.estimate_s = 30;
    add(s);
    ASSERT_EQ(started({&x}), 1u);
    now += 25;
    reported(x);
    // An array that waits is not put off until a replica ends.
    Job& busy = add(batch("job-2", 1, PriorityClass::kStandard));
    jobs.bind(busy, 0, y, 1, now);
    Job& waits = add(batch("job-3", 1, PriorityClass::kStandard));
    EXPECT_EQ(plan().scale_out.size(), 1u);
    jobs.erase(waits.spec.id);
    // And a gang that would need its machine is not in sight: what is kept for it meanwhile is lent.
    jobs.erase(busy.spec.id);
    JobSpec g = batch("job-4", 2, PriorityClass::kStandard);
    g.kind = JobKind::kGang;
    add(g);
    add(batch("job-5", 1, PriorityClass::kStandard));
    auto b = pull({&y});
    ASSERT_EQ(b.size(), 1u);
    EXPECT_EQ(b[0].job->spec.id, "job-5");
}

TEST_F(Service, OfProductionRankPreemptsLowerWorkAtOnce) {
    Machine& x = machine("vm-1");
    Job& low = add(batch("job-1", 1, PriorityClass::kHigh));
    ASSERT_EQ(started({&x}), 1u);
    add(service("job-2", 1));
    EXPECT_TRUE(pull({&x}).empty());
    EXPECT_EQ(stopping(low), 1u);
    EXPECT_TRUE(pull({&x}).empty()) << "not before the old task has exited";
    carry_out(x);
    auto b = pull({&x});
    ASSERT_FALSE(b.empty());
    EXPECT_EQ(b[0].job->spec.id, "job-2") << "it goes first";
}

// Also work within its team's guarantee, and a gang as a whole, if nothing else gives room.
TEST_F(Service, OfProductionRankPreemptsGangsAndGuaranteedWorkOfLowerRank) {
    Team sure;
    sure.name = "sure";
    sure.gpus = 100;
    config.teams.push_back(sure);
    Machine &x = machine("vm-1"), &y = machine("vm-2");
    JobSpec g = batch("job-1", 2, PriorityClass::kHigh);
    g.kind = JobKind::kGang;
    g.team = "sure";
    Job& gang = add(g);
    ASSERT_EQ(started({&x, &y}), 2u);
    // Of equal rank it does not.
    Job& equal = add(service("job-2", 1));
    equal.spec.priority = PriorityClass::kHigh;
    pull({&x, &y});
    EXPECT_EQ(stopping(gang), 0u);
    equal.spec.priority = PriorityClass::kProduction;
    pull({&x, &y});
    EXPECT_EQ(stopping(gang), 2u);
}

// Room is made where the zones allow a replica, not where there is most to take.
TEST_F(Service, PreemptsOnlyInZonesThatMayStillTakeAReplica) {
    Machine &a = machine("vm-1"), &b = machine("vm-2", "b");
    Job& low = add(batch("job-2", 1, PriorityClass::kStandard));
    ASSERT_EQ(started({&b}), 1u);
    JobSpec s = service("job-1", 2);
    s.spread_across_zones = true;
    Job& j = add(s);
    ASSERT_EQ(pull({&a}).size(), 1u) << "half, rounded up, though there is room for both";
    EXPECT_EQ(stopping(low), 1u);
    EXPECT_EQ(j.pending.size(), 1u);
    // Without the lower work it is a machine of that zone that is rented.
    jobs.erase("job-2");
    cluster.machines.erase("vm-2");
    ScalingPlan p = plan();
    ASSERT_EQ(p.scale_out.size(), 1u);
    EXPECT_EQ(p.scale_out[0].kind.zone, "b");
}

TEST_F(Service, IsApartInAReplacementToo) {
    std::vector<Machine*> a, b;
    for (int i = 0; i < 4; ++i) a.push_back(&machine("vm-a" + std::to_string(i)));
    for (int i = 0; i < 4; ++i) b.push_back(&machine("vm-b" + std::to_string(i), "b"));
    JobSpec s = service("job-1", 5);
    s.spread_across_zones = true;
    Job& j = add(s);
    EXPECT_EQ(started(a), 3u);
    EXPECT_EQ(started(a), 0u) << "half, rounded up, is there";
    EXPECT_EQ(started(b), 2u);
    std::string lost;
    for (const auto& [task, p] : j.live)
        if (p.zone == "b") lost = p.machine;
    now += 60;
    jobs.machine_deleted(lost, now);
    cluster.machines.erase(lost);
    on.erase(lost);
    EXPECT_EQ(started(a), 0u);
    std::vector<Machine*> left;
    for (auto& [name, h] : cluster.machines)
        if (h->zone == "b") left.push_back(h.get());
    EXPECT_EQ(started(left), 1u);
    EXPECT_EQ(by(j, &Placement::zone), (std::map<std::string, int>{{"a", 3}, {"b", 2}}));
}

// One loss takes one replica, and a wave of spot machines taken back at most half.
TEST_F(Service, SpreadsOverMachinesAndKinds) {
    std::vector<Machine*> all;
    for (int i = 0; i < 4; ++i) all.push_back(&machine("vm-" + std::to_string(i), "a", i < 2));
    JobSpec s = service("job-1", 4);
    s.spot = true;
    Job& j = add(s);
    EXPECT_EQ(started({all[0]}), 1u) << "the others of this machine wait for other machines";
    EXPECT_EQ(j.wait_reason, WaitReason::kHeldForSpread);
    EXPECT_EQ(started(all), 3u);
    EXPECT_EQ(by(j, &Placement::machine).size(), 4u);
    // Not for long: a machine that asks is better than one that may ask.
    Job& k = add(service("job-2", 3));
    EXPECT_EQ(started({all[2]}), 1u);
    now += constants::kSpreadWait_s;
    EXPECT_EQ(started({all[2]}), 1u);
    now += constants::kSpreadWait_s;
    EXPECT_EQ(started({all[2]}), 1u);
    EXPECT_EQ(k.live.size(), 3u);
    // Three on spot machines would be too many of four.
    machine("vm-9", "a", true);
    s.id = "job-3";
    Job& l = add(s);
    EXPECT_EQ(started({all[0], all[1], cluster.machine("vm-9")}), 2u);
    EXPECT_EQ(started({all[2], all[3]}), 2u);
    EXPECT_EQ(l.live.size(), 4u);
}

TEST_F(Service, WaitsForAnImageOnlyWhereThatIsSooner) {
    Machine &x = machine("vm-1"), &y = machine("vm-2");
    JobSpec s = service("job-1", 1);
    s.image_gb = 1;  // fetched in a second; the holder's next report may be four away
    x.cache.use(s.image, 1);
    add(s);
    EXPECT_EQ(pull({&y}).size(), 1u);
    s.id = "job-2";
    s.image_gb = 10;
    add(s);
    EXPECT_TRUE(pull({&y}).empty());
    EXPECT_EQ(pull({&x}).size(), 1u);
    // For half as long as the fetch takes.
    s.id = "job-3";
    s.image_gb = 5;
    add(s);
    EXPECT_TRUE(pull({&y}).empty());
    now += 2.5;
    EXPECT_EQ(pull({&y}).size(), 1u);
}

// Work that never ends is not lent what is kept for a gang, and is never late.
TEST_F(Service, IsNotTakenForShortWork) {
    config.wait_within["c"] = {2};
    JobSpec s = service("job-1", 1);
    s.job_class = "c";
    s.due_s = 5;
    s.priority = PriorityClass::kIdle;
    s.cpus = 16;
    Job& j = add(s);
    now += 50;
    EXPECT_EQ(j.missed_objectives(config, now), 0);
    EXPECT_FALSE(j.late(config, now));
    Machine &x = machine("vm-1"), &y = machine("vm-2");
    Job& busy = add(batch("job-2", 1, PriorityClass::kStandard));
    jobs.bind(busy, 0, y, 1, now);
    JobSpec g = batch("job-3", 2, PriorityClass::kStandard);
    g.kind = JobKind::kGang;
    add(g);
    EXPECT_TRUE(pull({&x}).empty()) << "kept for the gang, which waits for the other machine";
}

// It ends at once wherever it is started: that is its own fault. It is tried again less and less often, and
// no machine is condemned for it.
TEST_F(Service, BacksOffWhenItEndsAtOnceWithoutCondemningMachines) {
    std::vector<Machine*> all;
    for (int i = 0; i < 6; ++i) all.push_back(&machine("vm-" + std::to_string(i)));
    Job& j = add(service("job-1", 1));
    std::vector<Seconds> starts;
    for (int step = 0; step < 1200 && starts.size() < 10; ++step, now += 0.5) {
        if (started(all) == 0) continue;
        starts.push_back(now);
        Machine* h = cluster.machine(j.live.at(0).machine);
        ends(*h, starts.size() % 2 ? ExitCause::kError : ExitCause::kDone);
        carry_out(*h);
    }
    ASSERT_EQ(starts.size(), 10u);
    EXPECT_LE(starts[2] - starts[0], 2) << "the first starts follow at once";
    EXPECT_GT(starts[9] - starts[8], 30);
    EXPECT_GT(starts[8] - starts[7], starts[6] - starts[5]);
    EXPECT_TRUE(j.failing);
    for (Machine* h : all) {
        EXPECT_FALSE(h->cordoned);
        EXPECT_TRUE(h->failed_jobs.empty());
    }
    // One that runs for a while has recovered: lost, it is replaced at once.
    now += 200;
    ASSERT_EQ(started(all), 1u);
    now += constants::kReplicaSteady_s;
    Machine* h = cluster.machine(j.live.at(0).machine);
    reported(*h);
    EXPECT_FALSE(j.failing);
    ends(*h, ExitCause::kError);
    EXPECT_EQ(started(all), 1u);
}

// Replicas of different services fail on one machine and run elsewhere: it is the machine.
TEST_F(Service, CondemnsAMachineThatFailsReplicasOfDifferentServices) {
    Machine &bad = machine("vm-1"), &good = machine("vm-2");
    for (const char* id : {"job-1", "job-2"}) {
        Job& j = add(service(id, 1));
        ASSERT_EQ(started({&bad}), 1u);
        ends(bad, ExitCause::kError);
        ASSERT_EQ(started({&bad, &good}), 1u);
        EXPECT_EQ(j.live.at(0).machine, "vm-2") << "at once, and not where it failed";
        carry_out(bad);
    }
    EXPECT_TRUE(bad.cordoned);
}

// From a machine that is condemned or emptied replicas move one at a time: the next when the last one's
// successor runs. What can wait does not make a service small.
TEST_F(Service, MovesReplicasOneAtATime) {
    Machine& x = machine("vm-1");
    Job& j = add(service("job-1", 3));
    now += constants::kSpreadWait_s;
    ASSERT_EQ(started({&x}), 3u);
    Machine& y = machine("vm-2");
    x.draining = true;
    now += 60;
    for (size_t left = 3; left > 0; --left) {
        EXPECT_EQ(by(j, &Placement::machine)["vm-1"], static_cast<int>(left));
        jobs.move_replicas(cluster, now);
        jobs.move_replicas(cluster, now += 1);
        EXPECT_EQ(stopping(j), 1u);
        carry_out(x);
        EXPECT_EQ(j.pending.size(), 1u);
        jobs.move_replicas(cluster, now += 1);
        EXPECT_EQ(stopping(j), 0u) << "its successor does not run yet";
        ASSERT_EQ(started({&x, &y}), 1u);
    }
    EXPECT_EQ(by(j, &Placement::machine)["vm-2"], 3);
}

TEST_F(Service, IsRefusedIfItsReplicasCannotAllRun) {
    config.teams[0].cpus_max = 6;
    JobSpec s = service("job-1", 6);
    EXPECT_EQ(never_runnable(s, config, cluster.machine_types), "");
    s.tasks = 7;
    EXPECT_NE(never_runnable(s, config, cluster.machine_types), "");
    s.tasks = 1;
    s.cpus = 17;
    EXPECT_NE(never_runnable(s, config, cluster.machine_types), "");
}

namespace {

std::string service_body(const std::string& id, uint32_t replicas) {
    return job_body(id, [&](auto& f) {
        auto packed = [](auto g) {
            Packer p;
            g(p);
            return p.take();
        };
        f["shape"] = packed([](Packer& p) { p.text("standing"); });
        f["rank"] = packed([](Packer& p) { p.text("production"); });
        f["pieces"] = packed([&](Packer& p) { p.count(replicas); });
        f["vcpus"] = packed([](Packer& p) { p.number(1); });
        f["cards"] = packed([](Packer& p) { p.number(0); });
        f["expect_s"] = packed([](Packer& p) { p.number(0); });
        f["snapshot_s"] = packed([](Packer& p) { p.number(0); });
        f["flush_s"] = packed([](Packer& p) { p.number(0); });
        f["due_s"] = packed([](Packer& p) { p.null(); });
    });
}

std::string phase(const Answer& a) {
    auto m = Message::parse(a.body);
    return m ? m->root()["phase"].text_or("") : "";
}

}  // namespace

// What its user sees, from the submission to the cancellation, also through another node.
TEST(ServiceUsers, SeeItRunUntilTheyCancelIt) {
    Site s(2);
    s.start(0);
    s.start(1);
    ASSERT_TRUE(s.until([&] { return s.leader() >= 0; }));
    int lead = s.leader(), other = 1 - lead;
    s.run(1);
    EXPECT_EQ(s.call(other, "POST", "/v2/runs", service_body("job-1", 1)).status, 201);
    EXPECT_EQ(phase(s.call(other, "GET", "/v2/runs/job-1")), "pending");
    FakeWorker w;
    s.settle(w);
    for (ExitCause cause : {ExitCause::kDone, ExitCause::kDone, ExitCause::kDone}) {
        s.send_report(w, lead);
        s.send_report(w, lead);
        ASSERT_TRUE(w.find("job-1/0"));
        EXPECT_EQ(phase(s.call(other, "GET", "/v2/runs/job-1")), "running");
        for (int i = 0; i < 8; ++i) {
            s.run(3);
            s.send_report(w, lead);
        }
        ASSERT_TRUE(w.find("job-1/0"));
        w.find("job-1/0")->phase = TaskPhase::kExited;
        w.find("job-1/0")->cause = cause;
        s.send_report(w, lead);
        s.run(0.5);
        std::string now = phase(s.call(other, "GET", "/v2/runs/job-1"));
        EXPECT_TRUE(now == "pending" || now == "running") << now;
        EXPECT_EQ(s.call(other, "POST", "/v2/runs", service_body("job-1", 1)).status, 200);
    }
    s.send_report(w, lead);
    ASSERT_TRUE(w.find("job-1/0"));
    std::string page = s.call(lead, "GET", "/operator/jobs").body;
    EXPECT_NE(page.find("job-1 service team team 1 of 1 replicas up"), std::string::npos) << page;
    EXPECT_EQ(phase(s.call(other, "POST", "/v2/runs/job-1/withdraw")), "withdrawn");
    s.run(0.5);
    s.send_report(w, lead);
    s.send_report(w, lead);
    s.run(0.5);
    EXPECT_EQ(phase(s.call(lead, "GET", "/v2/runs/job-1")), "withdrawn");
    EXPECT_EQ(s.state.rows.count("j/job-1"), 0u);
    EXPECT_EQ(phase(s.call(other, "POST", "/v2/runs/job-1/withdraw")), "withdrawn");
}

// With a spot notice its replicas end at once, so that their successors start while the machine is still
// there; and the successor only when the exit is reported.
TEST(ServiceUsers, KeepItWhenAMachineIsAboutToGo) {
    Site s;
    s.start(0);
    ASSERT_TRUE(s.until([&] { return s.leader() == 0; }));
    s.run(1);
    FakeWorker w1, w2;
    w2.name = "vm-000002";
    s.settle(w1);
    ASSERT_EQ(s.call(0, "POST", "/v2/runs", service_body("job-1", 1)).status, 201);
    s.send_report(w1, 0);
    s.send_report(w1, 0);
    ASSERT_TRUE(w1.find("job-1/0"));
    s.settle(w2);
    w1.notice_s = 20;
    s.send_report(w1, 0);
    ASSERT_TRUE(w1.find("job-1/0"));
    EXPECT_EQ(w1.find("job-1/0")->phase, TaskPhase::kExited) << "told to stop in the answer to the notice";
    s.send_report(w2, 0);
    EXPECT_FALSE(w2.find("job-1/0")) << "its exit is not reported yet";
    s.send_report(w1, 0);
    s.send_report(w2, 0);
    ASSERT_TRUE(w2.find("job-1/0"));
    EXPECT_EQ(w2.find("job-1/0")->attempt, 2u);
    s.send_report(w1, 0);
    EXPECT_TRUE(w1.tasks.empty()) << "and nothing comes back to the machine that goes";
}

// While there are services, a busy machine's report is held briefly: a replica that comes is launched at
// once. With something to tell, it is answered at once.
TEST(ServiceUsers, NeedNotWaitForTheNextReportOfABusyMachine) {
    Site s;
    s.start(0);
    ASSERT_TRUE(s.until([&] { return s.leader() == 0; }));
    s.run(1);
    FakeWorker w;
    s.settle(w);
    ASSERT_EQ(s.call(0, "POST", "/v2/runs", job_body("job-1")).status, 201);
    s.send_report(w, 0);
    s.send_report(w, 0);
    ASSERT_TRUE(w.find("job-1/0"));
    auto took = [&] {
        Seconds began = s.loop.now();
        EXPECT_EQ(s.send_report(w, 0), 200);
        return s.loop.now() - began;
    };
    EXPECT_LT(took(), 0.3) << "without services its next change must come through";
    ASSERT_EQ(s.call(0, "POST", "/v2/runs", service_body("job-2", 1)).status, 201);
    EXPECT_LT(took(), 0.3) << "there is something to launch";
    EXPECT_TRUE(w.find("job-2/0"));
    Seconds held = took();
    EXPECT_GT(held, 0.8 * constants::kHoldBusy_s);
    EXPECT_LT(held, constants::kHoldBusy_s + 0.3);
    // One that comes meanwhile goes into the answer.
    Scope scope(s.loop);
    bool done = false;
    auto later = [](Site& site, Answer& out, bool& d) -> Task<void> {
        co_await site.loop.sleep(0.3);
        HttpClient http(site.loop, site.configs[0].listen, 1);
        out = co_await http.call("POST", "/v2/runs", service_body("job-3", 1), 4.0);
        d = true;
    };
    Answer out;
    scope.spawn(later(s, out, done), "submission");
    EXPECT_LT(took(), 0.6);
    EXPECT_TRUE(w.find("job-3/0"));
    EXPECT_TRUE(s.until([&] { return done; }));
    // What has ended is forgotten without delay.
    w.find("job-1/0")->phase = TaskPhase::kExited;
    w.find("job-1/0")->cause = ExitCause::kDone;
    EXPECT_LT(took(), 0.3);
}

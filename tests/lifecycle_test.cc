// Jobs, placements and matching, without I/O: each test is a way in which a rule could be broken.
#include <gtest/gtest.h>

#include "base/constants.h"
#include "fleet/scaling_plan.h"
#include "jobs/resource_accounting.h"
#include "scheduler/scheduler.h"
#include "standins.h"

using namespace hareshore;

namespace {

struct Lifecycle : testing::Test {
    Config config;
    Settings settings;
    Cluster cluster;
    JobTable jobs;
    Seconds now = 100;

    Lifecycle() {
        config.zones = {"a", "b"};
        Team t;
        t.name = "team";
        t.gpus_max = 4;
        config.teams = {t};
        config.heartbeat_interval_s = 3;
        config.lease_s = 24;
        config.value_bytes = 8192;
        config.cloud_rps = 6;
        cluster.machine_types = {test::small_machine_type()};
    }

    JobSpec spec(const std::string& id, uint32_t tasks, JobKind shape = JobKind::kArray) {
        JobSpec s;
        s.id = id;
        s.team = "team";
        s.kind = shape;
        s.tasks = tasks;
        s.cpus = 4;
        s.gpus = 1;
        s.memory_gb = 8;
        s.image = "img-" + id;
        s.image_gb = 2;
        s.checkpoint_s = 10;
        s.save_s = 2;
        return s;
    }
    Job& add(JobSpec s, std::map<uint32_t, PlacementRecord> live = {}) {
        JobRecord r;
        r.spec = std::move(s);
        r.live = std::move(live);
        r.next_attempt = r.live.empty() ? 1 : 10;
        Job& j = jobs.load(r, 5, now, {0});
        j.accepted = now;
        for (const auto& [task, b] : r.live) cluster.ensure(b.machine, now).zone = b.zone;
        return j;
    }
    Machine& machine(const std::string& name, const std::string& zone = "a") {
        Machine& h = cluster.ensure(name, now);
        h.zone = zone;
        h.machine_type = "g2";
        WorkerHeartbeat r = report(h, {});
        h.reported = h.current = true;
        jobs.apply(cluster, h, r, true, now);
        return h;
    }
    WorkerHeartbeat report(const Machine& h, std::vector<TaskStatus> tasks) {
        WorkerHeartbeat r;
        r.machine = h.name;
        r.zone = h.zone;
        r.machine_type = "g2";
        r.incarnation = 1;
        r.sequence = h.sequence + 1;
        r.tasks = std::move(tasks);
        return r;
    }
    static TaskStatus task(const std::string& job, uint32_t n, uint64_t attempt, TaskPhase p,
                           ExitCause c = ExitCause::kNone) {
        return {{job, n}, attempt, p, c, false};
    }
    std::vector<Binding> pull(std::vector<Machine*> requesting_machines) {
        for (auto& [n, h] : cluster.machines) h->last_heartbeat = now;
        recount(cluster, jobs, now, 6);
        SchedulerInput in{config, settings, now, std::move(requesting_machines), kNewestRecordFormat};
        return schedule(cluster, jobs, in);
    }
    void committed(Job& j) { j.committed = j.version; }
    static size_t launches(const std::vector<Command>& o) {
        return static_cast<size_t>(
            std::count_if(o.begin(), o.end(), [](auto& x) { return x.verb == CommandKind::kLaunch; }));
    }
};

}  // namespace

TEST_F(Lifecycle, LaunchesOnlyWhatIsCommitted) {
    Job& j = add(spec("job-1", 1));
    Machine& h = machine("vm-1");
    ASSERT_EQ(pull({&h}).size(), 1u);
    EXPECT_TRUE(jobs.awaits_commit(h));
    EXPECT_EQ(launches(jobs.commands(h, true)), 0u);
    committed(j);
    EXPECT_EQ(launches(jobs.commands(h, false)), 0u) << "a direct command carries no launch";
    EXPECT_EQ(launches(jobs.commands(h, true)), 1u);
}

// The response with the launch is lost: the next report does not list the task, and it is sent again with
// the same attempt. The task stays bound to this machine all the while.
TEST_F(Lifecycle, RepeatsALaunchWhoseResponseWasLost) {
    Job& j = add(spec("job-1", 1));
    Machine& h = machine("vm-1");
    pull({&h});
    committed(j);
    auto first = jobs.commands(h, true);
    jobs.apply(cluster, h, report(h, {}), true, now += 3);
    ASSERT_EQ(j.live.size(), 1u);
    auto second = jobs.commands(h, true);
    ASSERT_EQ(launches(second), 1u);
    EXPECT_EQ(first[0].attempt, second[0].attempt);
}

// A report that was sent before the launch says nothing about it, however late it comes; and the answer
// of a direct command proves no absence, since a response may still carry the launch.
TEST_F(Lifecycle, LateReportsDisproveNothing) {
    Job& j = add(spec("job-1", 1));
    Machine& h = machine("vm-1");
    pull({&h});
    committed(j);
    jobs.commands(h, true);
    WorkerHeartbeat late = report(h, {});
    late.sequence = h.sequence;  // the report that was answered with the launch
    EXPECT_FALSE(late.newer_than(h.incarnation, h.sequence));
    jobs.apply(cluster, h, report(h, {task("job-1", 0, 1, TaskPhase::kRunning)}), true, now += 3);
    jobs.apply(cluster, h, report(h, {}), false, now += 1);
    EXPECT_EQ(j.live.size(), 1u);
}

// After a take-over a placement counts until a report from a machine that has seen the new epoch lacks it:
// before that, the last leader's launch may still arrive.
TEST_F(Lifecycle, InheritedPlacementsStayUntilDisproved) {
    Job& j = add(spec("job-1", 1), {{0, {3, "vm-1", "a"}}});
    Machine& h = cluster.ensure("vm-1", now);
    h.machine_type = "g2";
    jobs.apply(cluster, h, report(h, {}), false, now);  // has not seen the epoch
    EXPECT_EQ(j.live.size(), 1u);
    Machine& other = machine("vm-2");
    EXPECT_TRUE(pull({&other}).empty());
    jobs.apply(cluster, h, report(h, {}), true, now);
    // Never seen on the machine: it is launched there, still the same attempt on the same machine.
    auto commands = jobs.commands(h, true);
    ASSERT_EQ(launches(commands), 1u);
    EXPECT_EQ(commands[0].attempt, 3u);
    EXPECT_TRUE(pull({&other}).empty());
}

TEST_F(Lifecycle, NoTimeoutFreesAPlacementOnlyTheDeletionDoes) {
    Job& j = add(spec("job-1", 1), {{0, {3, "vm-1", "a"}}});
    Machine& other = machine("vm-2");
    now += 100000;
    EXPECT_TRUE(pull({&other}).empty());
    jobs.machine_deleted("vm-1", now);
    EXPECT_EQ(j.live.size(), 0u);
    EXPECT_EQ(pull({&other}).size(), 1u);
    EXPECT_GT(j.live.at(0).attempt, 3u);
}

// A cancelled task that is still on its machine after any lease it was given can only be on one that hangs.
// The machine must go, and soon enough for cancel_s, however quiet its zone is.
TEST_F(Lifecycle, AMachineThatHoldsCancelledWorkIsDueAfterALease) {
    config.cancel_s = 49;
    auto due = [&](Seconds leading_since) {
        return machines_holding_cancelled(cluster, jobs, config, now, leading_since);
    };
    using Names = std::vector<std::string>;
    for (int i = 0; i < 6; ++i) machine("vm-" + std::to_string(i)).last_heartbeat = now;
    Job& j = add(spec("job-1", 1), {{0, {3, "vm-1", "a"}}});
    add(spec("job-2", 1), {{0, {3, "vm-2", "a"}}});
    now += 30;
    EXPECT_TRUE(due(0).empty()) << "silence alone is no reason";
    cluster.machine("vm-1")->last_heartbeat = now - 1;
    jobs.cancel(j, now);
    now += 10;
    EXPECT_TRUE(due(0).empty()) << "it may hear the halt yet";
    now += config.lease_s - 8 + constants::kLeaseMargin_s;
    EXPECT_EQ(due(0), Names{"vm-1"}) << "its lease has ended";
    EXPECT_LT(now, j.cancelled_at + config.cancel_s - 15) << "the cloud may be slow";
    EXPECT_TRUE(due(now - 5).empty()) << "whoever stood still listens first";
    cluster.machine("vm-1")->last_heartbeat = now;
    EXPECT_EQ(due(0), Names{"vm-1"}) << "it reports, and hears nothing";
    // A leader that learns late counts from the machine's silence.
    jobs.cancel(*jobs.find("job-2"), now);
    EXPECT_EQ(due(0), (Names{"vm-1", "vm-2"}));
    cluster.machine("vm-1")->deleting = true;
    EXPECT_EQ(due(0), Names{"vm-2"});
    // One that inherits a cancellation does not know since when: a machine that does not come is due soon.
    JobRecord r;
    r.spec = spec("job-3", 1);
    r.cancelled = true;
    r.live[0] = {4, "vm-9", "a"};
    jobs.load(r, 9, now, {0});
    cluster.ensure("vm-9", now);
    Seconds loaded = now;
    now += 5;
    EXPECT_TRUE(due(loaded).empty());
    now += 4;
    auto names = due(loaded);
    EXPECT_EQ(std::count(names.begin(), names.end(), "vm-9"), 1);
}

// Launch after forget: the exit is committed first, and the next start has another attempt.
TEST_F(Lifecycle, ForgetsOnlyWhatIsCommittedAndNeverReusesAnAttempt) {
    Job& j = add(spec("job-1", 1));
    Machine& h = machine("vm-1");
    pull({&h});
    committed(j);
    jobs.commands(h, true);
    auto exited = task("job-1", 0, 1, TaskPhase::kExited, ExitCause::kError);
    jobs.apply(cluster, h, report(h, {exited}), true, now += 3);
    EXPECT_TRUE(jobs.commands(h, true).empty()) << "the exit is not committed yet";
    committed(j);
    auto o = jobs.commands(h, true);
    ASSERT_EQ(o.size(), 1u);
    EXPECT_EQ(o[0].verb, CommandKind::kForget);
    Machine& other = machine("vm-2");
    now += 30;
    ASSERT_EQ(pull({&other}).size(), 1u);
    EXPECT_EQ(j.live.at(0).attempt, 2u);
}

TEST_F(Lifecycle, CountsInheritedPlacementsAgainstTheTeamsLimit) {
    add(spec("job-1", 3), {{0, {1, "vm-8", "a"}}, {1, {1, "vm-8", "a"}}, {2, {1, "vm-9", "a"}}});
    add(spec("job-2", 4));
    Machine& h = machine("vm-1");
    EXPECT_EQ(pull({&h}).size(), 1u) << "three of four GPUs are in use on machines not heard of yet";
}

TEST_F(Lifecycle, KeepsAJobInTheZoneOfItsInheritedPlacements) {
    JobSpec s = spec("job-1", 3);
    s.single_zone = true;
    add(s, {{0, {1, "vm-8", "a"}}});
    Machine& b = machine("vm-1", "b");
    EXPECT_TRUE(pull({&b}).empty());
    Machine& a = machine("vm-2", "a");
    EXPECT_EQ(pull({&a}).size(), 2u);
}

TEST_F(Lifecycle, PutsAtMostHalfRoundedUpIntoAZone) {
    config.teams[0].gpus_max = 0;
    JobSpec s = spec("job-1", 5);
    s.spread_across_zones = true;
    add(s);
    Machine &x = machine("vm-1"), &y = machine("vm-2");
    EXPECT_EQ(pull({&x, &y}).size(), 3u);
}

TEST_F(Lifecycle, StartsAGangOnlyWithRoomForAllTasks) {
    Job& g = add(spec("job-1", 4, JobKind::kGang));
    Machine& x = machine("vm-1");
    EXPECT_TRUE(pull({&x}).empty());
    EXPECT_EQ(g.wait_reason, WaitReason::kGangRoom);
    machine("vm-2");
    EXPECT_EQ(pull({&x}).size(), 4u);
    std::set<uint64_t> attempts;
    for (auto& [n, p] : g.live) attempts.insert(p.attempt);
    EXPECT_EQ(attempts.size(), 1u) << "tasks of a gang find each other by their attempt";
}

// Until the last task of the old attempt has exited, no task of the gang may start anywhere.
TEST_F(Lifecycle, RestartsAGangOnlyWhenItsLastAttemptIsGone) {
    Job& g = add(spec("job-1", 2, JobKind::kGang));
    Machine &x = machine("vm-1"), &y = machine("vm-2");
    x.free = {};
    ASSERT_EQ(pull({&x}).size(), 2u);
    committed(g);
    Machine& h = *cluster.machine(g.live.at(0).machine);
    auto t0 = task("job-1", 0, 1, TaskPhase::kRunning), t1 = task("job-1", 1, 1, TaskPhase::kRunning);
    jobs.apply(cluster, h, report(h, {t0, t1}), true, now += 3);
    EXPECT_TRUE(g.started);
    t0.phase = TaskPhase::kExited;
    t0.cause = ExitCause::kPeersGone;
    jobs.apply(cluster, h, report(h, {t0, t1}), true, now += 3);
    EXPECT_TRUE(pull({&x, &y}).empty());
    EXPECT_EQ(g.wait_reason, WaitReason::kOldAttempt);
    auto o = jobs.commands(h, true);
    EXPECT_TRUE(std::any_of(o.begin(), o.end(), [](auto& k) { return k.verb == CommandKind::kStop; }));
    t1.phase = TaskPhase::kExited;
    t1.cause = ExitCause::kStopped;
    jobs.apply(cluster, h, report(h, {t0, t1}), true, now += 3);
    EXPECT_EQ(pull({&x, &y}).size(), 2u);
    EXPECT_EQ(g.live.at(0).attempt, 2u);
}

TEST_F(Lifecycle, AGangIsDoneWithItsFirstDoneTaskAndStillTakesRoomUntilReported) {
    Job& g = add(spec("job-1", 2, JobKind::kGang));
    Machine &x = machine("vm-1"), &y = machine("vm-2");
    pull({&x});
    committed(g);
    Machine& h = *cluster.machine(g.live.at(0).machine);
    Machine& other = &h == &x ? y : x;
    jobs.apply(
        cluster, h,
        report(h, {task("job-1", 0, 1, TaskPhase::kRunning), task("job-1", 1, 1, TaskPhase::kRunning)}), true,
        now);
    jobs.apply(cluster, h,
               report(h, {task("job-1", 0, 1, TaskPhase::kExited, ExitCause::kDone),
                          task("job-1", 1, 1, TaskPhase::kRunning)}),
               true, now += 3);
    EXPECT_TRUE(g.finished());
    recount(cluster, jobs, now, 6);
    EXPECT_EQ(cluster.teams["team"].gpus, 1.0);
    (void)other;
}

// A task that nothing confirms for is stopped, and its job does not start it elsewhere meanwhile.
TEST_F(Lifecycle, StopsOrphansAndStartsNothingBesideThem) {
    add(spec("job-1", 1));
    Machine &x = machine("vm-1"), &y = machine("vm-2");
    jobs.apply(
        cluster, x,
        report(x, {task("job-1", 0, 77, TaskPhase::kRunning), task("job-9", 0, 1, TaskPhase::kRunning)}),
        true, now);
    EXPECT_TRUE(pull({&y}).empty());
    auto o = jobs.commands(x, true);
    ASSERT_EQ(o.size(), 2u);
    EXPECT_EQ(o[0].verb, CommandKind::kStop);
    EXPECT_EQ(o[1].verb, CommandKind::kStop);
}

TEST_F(Lifecycle, ACancelledJobIsLaunchedNowhereAndHaltedEverywhere) {
    Job& j = add(spec("job-1", 3));
    Machine& h = machine("vm-1");
    ASSERT_EQ(pull({&h}).size(), 2u);
    committed(j);
    jobs.commands(h, true);
    jobs.cancel(j, now);
    EXPECT_TRUE(pull({&h}).empty());
    EXPECT_EQ(launches(jobs.commands(h, true)), 0u);
    // The launch was in flight and took effect.
    jobs.apply(cluster, h, report(h, {task("job-1", 0, 1, TaskPhase::kRunning)}), true, now += 3);
    auto o = jobs.commands(h, true);
    ASSERT_EQ(o.size(), 1u);
    EXPECT_EQ(o[0].verb, CommandKind::kStop);
    EXPECT_EQ(o[0].grace_s, 0);
}

TEST_F(Lifecycle, TellsFaultyMachinesFromFaultyJobs) {
    config.teams[0].gpus_max = 0;
    Machine& bad = machine("vm-1");
    auto fail = [&](Machine& h, const std::string& id) {
        Job& j = jobs.find(id) ? *jobs.find(id) : add(spec(id, 1));
        h.tasks.clear();
        jobs.bind(j, 0, h, j.next_attempt++, now);
        committed(j);
        jobs.apply(cluster, h,
                   report(h, {task(id, 0, j.live.at(0).attempt, TaskPhase::kExited, ExitCause::kError)}),
                   true, now);
    };
    fail(bad, "job-1");
    EXPECT_FALSE(bad.cordoned) << "one failure says little";
    fail(bad, "job-2");
    EXPECT_TRUE(bad.cordoned);
    // One job that fails everywhere costs no machine.
    for (const char* m : {"vm-2", "vm-3", "vm-4", "vm-5"}) {
        Machine& h = machine(m);
        fail(h, "job-7");
        EXPECT_FALSE(h.cordoned);
    }
    EXPECT_TRUE(jobs.find("job-7")->failing);
    EXPECT_GT(jobs.find("job-7")->not_before, now);
    // What made it fail may be over: beside fitting room no job waits for 90 s.
    for (int i = 0; i < 8; ++i) {
        now = jobs.find("job-7")->not_before;
        fail(machine("vm-" + std::to_string(10 + i)), "job-7");
    }
    EXPECT_LT(jobs.find("job-7")->not_before, now + 75);
}

// When more has come than can be done in time, serving the oldest first would make all of it late in turn.
TEST_F(Lifecycle, ServesWhatCanStillMakeItsDeadlineBeforeWhatCannot) {
    config.teams[0].gpus_max = 2;
    JobSpec old = spec("job-1", 4), young = spec("job-2", 2);
    old.due_s = young.due_s = 100;
    old.estimate_s = young.estimate_s = 60;
    add(old);
    now += 80;
    add(young);
    Machine& h = machine("vm-1");
    auto b = pull({&h});
    ASSERT_EQ(b.size(), 2u);
    EXPECT_EQ(b[0].job->spec.id, "job-2");
    EXPECT_EQ(b[1].job->spec.id, "job-2");
}

// A machine that straggles shows against peers of the same job elsewhere; a long job alone shows nothing.
TEST_F(Lifecycle, CondemnsMachinesThatStraggler) {
    config.teams[0].gpus_max = 0;
    Job& j = add(spec("job-1", 8));
    std::vector<Machine*> machines;
    for (int i = 0; i < 4; ++i) machines.push_back(&machine("vm-" + std::to_string(i)));
    ASSERT_EQ(pull(machines).size(), 8u);
    committed(j);
    auto state = [&](Machine& h, TaskPhase p, ExitCause c) {
        std::vector<TaskStatus> t;
        for (auto& r : jobs.on_machine(h.name))
            t.push_back(task(r.job->spec.id, r.task, r.placement->attempt, p, c));
        jobs.apply(cluster, h, report(h, t), true, now);
    };
    for (Machine* h : machines) state(*h, TaskPhase::kRunning, ExitCause::kNone);
    now += 100;
    jobs.find_stragglers(cluster, now);
    EXPECT_FALSE(machines[0]->cordoned) << "nothing to compare with";
    now -= 70;
    for (int i = 1; i < 4; ++i)
        state(*machines[static_cast<size_t>(i)], TaskPhase::kExited, ExitCause::kDone);
    jobs.find_stragglers(cluster, now);
    EXPECT_FALSE(machines[0]->cordoned);
    now += 50;
    jobs.find_stragglers(cluster, now);
    EXPECT_TRUE(machines[0]->cordoned);
    EXPECT_EQ(jobs.take_urgent().count("vm-0"), 1u) << "its tasks save and move";
}

TEST_F(Lifecycle, WaitsBrieflyForAnIdleHolderOfTheImage) {
    Job& j = add(spec("job-1", 1));
    Machine &asker = machine("vm-1"), &holder = machine("vm-2");
    holder.cache.set_capacity(50);
    holder.cache.use(j.spec.image, 2);
    EXPECT_TRUE(pull({&asker}).empty());
    EXPECT_EQ(j.wait_reason, WaitReason::kHeldForImage);
    now += settings.hold_s + 0.1;
    EXPECT_EQ(pull({&asker}).size(), 1u) << "not for ever";
}

TEST_F(Lifecycle, PrefersTheLargerCachedImageAmongTasksOfSimilarAge) {
    add(spec("job-1", 1));
    JobSpec big = spec("job-2", 1);
    big.image_gb = 9;
    now += 1;
    add(big);
    Machine& h = machine("vm-1");
    h.cache.set_capacity(50);
    h.cache.use("img-job-1", 2);
    h.cache.use("img-job-2", 9);
    auto b = pull({&h});
    ASSERT_EQ(b.size(), 2u);
    EXPECT_EQ(b[0].job->spec.id, "job-2");
}

TEST(ImageCache, DropsTheLeastRecentlyUsed) {
    ImageCache c(10);
    c.use("a", 4);
    c.use("b", 4);
    c.use("a", 4);
    c.use("c", 4);
    EXPECT_TRUE(c.has("a"));
    EXPECT_FALSE(c.has("b"));
    EXPECT_TRUE(c.has("c"));
}

// Deciding about a job of 100,000 waiting tasks costs what its machines cost, not what its tasks cost; and
// its record stays within the state service's limit for a value.
TEST_F(Lifecycle, AHugeJobCostsNoMoreThanItsMachines) {
    config.teams[0].gpus_max = 0;
    Job& j = add(spec("job-1", 100'000));
    std::vector<Machine*> machines;
    for (int i = 0; i < 40; ++i) machines.push_back(&machine("vm-" + std::to_string(100 + i)));
    EXPECT_EQ(pull(machines).size(), 80u);
    EXPECT_LE(j.pending.pieces(), 1u);
    EXPECT_LT(j.record().pack(1).size(), config.value_bytes);
    settings.max_machines = 60;
    ScalingInput in{config, settings, now, now, {}, {}, false};
    auto plan = plan_scaling(cluster, jobs, in);
    int number = 0;
    for (auto& r : plan.scale_out) number += r.number;
    EXPECT_EQ(number, 80) << "up to the most machines in each of two zones, and not one a task";
    // By default only the cloud's capacity bounds a zone: with 200 machines a zone as the default a fleet of
    // 700 stayed at 400, and most of a class was not served. What is asked for at once stays bounded.
    settings.max_machines = 0;
    for (int i = 0; i < 260; ++i) machine("vm-b" + std::to_string(100 + i)).free = {};
    number = 0;
    for (auto& r : plan_scaling(cluster, jobs, in).scale_out) number += r.number;
    EXPECT_EQ(number, 300);
    in.pending_scale_out = {{{"g2", "a", false}, 50}, {{"g2", "b", false}, 50}};
    number = 0;
    for (auto& r : plan_scaling(cluster, jobs, in).scale_out) number += r.number;
    EXPECT_EQ(number, 200);
}

TEST_F(Lifecycle, ReturnsSilentMachinesUnlessManyFallSilentAtOnce) {
    for (int i = 0; i < 6; ++i) machine("vm-" + std::to_string(i)).last_heartbeat = now;
    Seconds then = now;
    now += 15;
    auto silent = [&](int n) {
        for (int i = 0; i < 6; ++i)
            cluster.machine("vm-" + std::to_string(i))->last_heartbeat = i < n ? then : now;
        recount(cluster, jobs, now, 6);
        ScalingInput in{config, settings, now, then, {}, {}, false};
        return plan_scaling(cluster, jobs, in).scale_in.size();
    };
    EXPECT_EQ(silent(1), 1u);
    EXPECT_EQ(silent(5), 0u) << "more likely the controller is cut off";
    // Not one by one either, when the others have only just fallen quiet.
    for (int i = 1; i < 6; ++i) cluster.machine("vm-" + std::to_string(i))->last_heartbeat = now - 8;
    cluster.machine("vm-0")->last_heartbeat = then;
    ScalingInput in{config, settings, now, then, {}, {}, false};
    EXPECT_TRUE(plan_scaling(cluster, jobs, in).scale_in.empty());
    // Nor is anything rented where it would not be heard, and the silent ones are no room to count on. A new
    // leader, who has heard none of them, sees the cut by what the cloud lists as up. With the zone's 260
    // machines returned and rented anew again and again, the fleet was short of them when the cut was over.
    config.zones = {"a", "b"};
    add(spec("job-1", 4));
    for (bool heard : {true, false}) {
        for (int i = 0; i < 6; ++i) {
            Machine& h = *cluster.machine("vm-" + std::to_string(i));
            h.last_heartbeat = then;
            h.listed = true;
            h.reported = heard;
        }
        now = then + 2 * config.lease_s;
        recount(cluster, jobs, now, 6);
        ScalingInput cut{config, settings, now, then, {}, {}, false};
        ScalingPlan plan = plan_scaling(cluster, jobs, cut);
        EXPECT_TRUE(plan.scale_in.empty()) << heard;
        ASSERT_EQ(plan.scale_out.size(), 1u);
        EXPECT_EQ(plan.scale_out[0].kind.zone, "b");
        EXPECT_EQ(plan.scale_out[0].number, 2);
        cut.now = then + constants::kPartitionTimeoutLeases * config.lease_s + 1;
        EXPECT_EQ(plan_scaling(cluster, jobs, cut).scale_in.size(), 6u) << "some day they are given up";
        // The cut ends, and most are heard again: the others have as long as any that falls silent.
        cut.now = now + 1;
        cut.partitioned_at["a"] = now;
        for (int i = 0; i < 4; ++i) {
            Machine& h = *cluster.machine("vm-" + std::to_string(i));
            h.reported = true;
            h.last_heartbeat = cut.now;
        }
        EXPECT_TRUE(std::ranges::none_of(plan_scaling(cluster, jobs, cut).scale_in,
                                         &ScaleInDecision::only_if_silent));
        cut.now += 2 * config.lease_s;
        for (int i = 0; i < 4; ++i) cluster.machine("vm-" + std::to_string(i))->last_heartbeat = cut.now;
        EXPECT_EQ(std::ranges::count_if(plan_scaling(cluster, jobs, cut).scale_in,
                                        &ScaleInDecision::only_if_silent),
                  2u);
    }
}

// Work is moved together only when no job has come for a while, and only if it can save and fits elsewhere.
TEST_F(Lifecycle, EmptiesHalfUsedMachinesOnlyInACalm) {
    config.teams[0].gpus_max = 0;
    Machine &x = machine("vm-1"), &y = machine("vm-2");
    JobSpec s = spec("job-1", 2);
    s.estimate_s = 500;
    Job& j = add(s);
    jobs.bind(j, 0, x, 1, now);
    jobs.bind(j, 1, y, 2, now);
    committed(j);
    jobs.apply(cluster, x, report(x, {task("job-1", 0, 1, TaskPhase::kRunning)}), true, now);
    jobs.apply(cluster, y, report(y, {task("job-1", 1, 2, TaskPhase::kRunning)}), true, now);
    auto moved = [&] {
        x.last_heartbeat = y.last_heartbeat = now;
        recount(cluster, jobs, now, 6);
        ScalingInput in{config, settings, now, 0, {}, {}, false};
        return plan_scaling(cluster, jobs, in).drain.size();
    };
    now += settings.calm_s - 1;
    EXPECT_EQ(moved(), 0u);
    now += 40;
    EXPECT_EQ(moved(), 1u);
    j.spec.checkpoint_s = 0;
    EXPECT_EQ(moved(), 0u) << "what cannot save is not moved";
}

// A waiting gang keeps the machines that come free, except for work that is over before it can start.
TEST_F(Lifecycle, KeepsRoomForAWaitingGangAndLendsItToShortWork) {
    config.teams[0].gpus_max = 0;
    Machine &x = machine("vm-1"), &y = machine("vm-2");
    JobSpec longer = spec("job-1", 1);
    longer.gpus = 2;
    longer.estimate_s = 200;
    Job& busy = add(longer);
    jobs.bind(busy, 0, y, 1, now);
    committed(busy);
    jobs.apply(cluster, y, report(y, {task("job-1", 0, 1, TaskPhase::kRunning)}), true, now);
    JobSpec g = spec("job-2", 2, JobKind::kGang);
    g.gpus = 2;
    g.single_zone = true;
    add(g);
    JobSpec slow = spec("job-3", 1), quick = spec("job-4", 1);
    slow.estimate_s = 300;
    quick.estimate_s = 20;
    now += 1;
    add(slow);
    EXPECT_TRUE(pull({&x}).empty()) << "kept for the gang";
    add(quick);
    auto b = pull({&x});
    ASSERT_EQ(b.size(), 1u);
    EXPECT_EQ(b[0].job->spec.id, "job-4");
}

TEST_F(Lifecycle, PreemptsOnlyWorkThatMustYield) {
    config.teams[0].gpus_max = 0;
    Team guaranteed;
    guaranteed.name = "other";
    guaranteed.gpus = 2;
    config.teams.push_back(guaranteed);
    Machine& x = machine("vm-1");
    Job& low = add(spec("job-1", 2));
    low.spec.priority = PriorityClass::kStandard;
    low.spec.checkpoint_s = 100;
    pull({&x});
    committed(low);
    jobs.apply(
        cluster, x,
        report(x, {task("job-1", 0, 1, TaskPhase::kRunning), task("job-1", 1, 2, TaskPhase::kRunning)}), true,
        now);
    auto stopping = [&] {
        return std::count_if(low.live.begin(), low.live.end(), [](auto& p) { return p.second.stopping; });
    };
    JobSpec same = spec("job-2", 1, JobKind::kGang);
    add(same);
    pull({&x});
    EXPECT_EQ(stopping(), 0) << "not for work of the same priority";
    JobSpec owed = spec("job-3", 1);
    owed.team = "other";
    add(owed);
    pull({&x});
    EXPECT_EQ(stopping(), 1) << "for another team's guarantee, one task is enough";
    EXPECT_GT(std::max(low.live.at(0).grace_s, low.live.at(1).grace_s), 2) << "with time to save";
}

// A gang of high priority needs two whole machines of four that run work which yields. It takes those where
// least is lost: not those whose tasks have only just started, which would not even count as started, nor the
// one that is furthest from its last checkpoint.
TEST_F(Lifecycle, StopsWorkWhereLeastIsLost) {
    config.teams[0].gpus_max = 0;
    std::vector<Job*> low;
    for (int i = 0; i < 4; ++i) {
        Machine& h = machine("vm-" + std::to_string(i));
        Job& j = add(spec("job-" + std::to_string(i), 2));
        low.push_back(&j);
        pull({&h});
        for (auto& [n, p] : j.live) p.seen = true;
    }
    now = 1000;
    Seconds began[] = {now - 5, now - 100, now - 109, now - 101};  // checkpoints come every 10 s
    for (size_t i = 0; i < 4; ++i)
        for (auto& [n, p] : low[i]->live) p.running_since = began[i];
    JobSpec s = spec("job-9", 2, JobKind::kGang);
    s.gpus = 2;
    s.cpus = 8;
    s.priority = PriorityClass::kHigh;
    add(s);
    pull({});
    auto stopping = [&](size_t i) {
        return std::count_if(low[i]->live.begin(), low[i]->live.end(),
                             [](auto& p) { return p.second.stopping; });
    };
    EXPECT_EQ(stopping(0), 0);
    EXPECT_EQ(stopping(1), 2);
    EXPECT_EQ(stopping(2), 0);
    EXPECT_EQ(stopping(3), 2);
}

// Launch after launch comes to nothing although newer reports arrive: the machine does not hear its answers.
// The task goes elsewhere, nothing more is bound there, and the machine is replaced.
TEST_F(Lifecycle, GivesUpAMachineThatReportsButDoesNotHear) {
    Job& j = add(spec("job-1", 1));
    Machine &deaf = machine("vm-1"), &other = machine("vm-2");
    other.cordoned = true;
    ASSERT_EQ(pull({&deaf}).size(), 1u);
    committed(j);
    for (int i = 0; i < constants::kUnansweredLaunches; ++i) {
        ASSERT_EQ(j.live.count(0), 1u);
        EXPECT_EQ(launches(jobs.commands(deaf, true)), 1u);
        jobs.apply(cluster, deaf, report(deaf, {}), true, now += 3);
    }
    EXPECT_TRUE(j.live.empty());
    EXPECT_TRUE(pull({&deaf}).empty()) << "no room to count on";
    other.cordoned = false;
    EXPECT_EQ(pull({&deaf, &other}).size(), 1u);
    auto returned = [&] {
        ScalingInput in{config, settings, now, 0, {}, {}, false};
        return plan_scaling(cluster, jobs, in).scales_in("vm-1");
    };
    EXPECT_EQ(returned(), 0u);
    now += config.lease_s + 1;
    deaf.last_heartbeat = other.last_heartbeat = now;
    recount(cluster, jobs, now, 6);
    EXPECT_EQ(returned(), 1u);
}

// What its reports say of the answers to them: one that is answered stays and numbers its reports one by
// one, and its lease does not end.
TEST_F(Lifecycle, SeesFromReportsWhetherAnswersAreHeard) {
    Machine& h = machine("vm-1");
    auto next = [&](uint64_t incarnation, uint64_t sequence, bool direct = true) {
        WorkerHeartbeat r = report(h, {});
        r.incarnation = incarnation;
        r.sequence = sequence;
        h.update_reachability(r, direct, config.lease_s, now += 3);
        jobs.apply(cluster, h, r, true, now);
        h.answered(direct, now);
        return !h.unreachable_since;
    };
    EXPECT_TRUE(next(1, 10));
    EXPECT_TRUE(next(1, 11));
    EXPECT_FALSE(next(1, 14)) << "it has asked others in between";
    EXPECT_FALSE(next(1, 15, false)) << "a relayed report shows nothing";
    EXPECT_FALSE(next(1, 16));
    EXPECT_TRUE(next(1, 17));
    h.answered(false, now);
    EXPECT_TRUE(next(1, 20)) << "a command's answer may have taken a number";
    EXPECT_FALSE(next(2, 21)) << "its lease has ended although it was answered";
    h.unreachable_since.reset();
    now += config.lease_s;
    EXPECT_TRUE(next(3, 40)) << "it was silent for a lease";
}

// A new leader gets a late copy of a report, from before its epoch, of a machine that was deleted long ago.
TEST_F(Lifecycle, ALateCopyAtANewLeaderIsNoRoom) {
    settings.max_machines = 5;
    add(spec("job-1", 2));
    Machine& h = machine("vm-1");
    h.current = false;
    h.last_heartbeat = now;
    recount(cluster, jobs, now, 6);
    EXPECT_FALSE(h.schedulable);
    auto rented = [&] {
        ScalingInput in{config, settings, now, now, {}, {}, false};
        int n = 0;
        for (auto& r : plan_scaling(cluster, jobs, in).scale_out) n += r.number;
        return n;
    };
    EXPECT_EQ(rented(), 1) << "it does not stand in for a machine";
    h.listed = true;
    EXPECT_EQ(rented(), 0) << "one that the cloud lists does";
}

// A large gang of low standing behind a stream of work that goes before it by priority, guarantee or
// lateness: after the bound it goes first, and what comes free is kept for it until it can begin.
TEST_F(Lifecycle, AStarvedJobGoesBeforeAllOthers) {
    config.teams[0].gpus_max = 0;
    Machine &x = machine("vm-1"), &y = machine("vm-2");
    JobSpec large = spec("job-1", 2, JobKind::kGang);
    large.gpus = 2;
    large.single_zone = true;
    large.priority = PriorityClass::kIdle;
    Job& old = add(large);
    JobSpec late = spec("job-2", 2);
    late.due_s = 10;
    late.priority = PriorityClass::kIdle;
    Job& overdue = add(late);
    int next = 10;
    auto stream = [&] {
        JobSpec s = spec("job-" + std::to_string(next++), 4);
        s.priority = PriorityClass::kHigh;
        return &add(s);
    };
    stream();
    ASSERT_EQ(pull({&x, &y}).size(), 4u);
    EXPECT_TRUE(old.live.empty());
    now += settings.begin_bound_s + 1;
    stream();
    // One machine comes free: it is kept, whatever else waits.
    jobs.machine_deleted("vm-1", now);
    EXPECT_TRUE(pull({&x}).empty());
    jobs.erase("job-10");
    jobs.machine_deleted("vm-2", now);
    auto b = pull({&x, &y});
    ASSERT_EQ(b.size(), 2u);
    EXPECT_EQ(b[0].job, &old);
    // The late array has its turn before what came after it, too, and only until it has begun.
    jobs.machine_deleted("vm-1", now);
    jobs.machine_deleted("vm-2", now);
    old.done = Ranges::whole(2);
    old.pending = {};
    b = pull({&x, &y});
    ASSERT_EQ(b.size(), 4u);
    EXPECT_EQ(b[0].job, &overdue);
    EXPECT_NE(b[1].job, &overdue);
}

// A gang that its team's limit keeps waiting: the team's own lower work yields, and small jobs of the team
// that come later do not take what comes free of the limit for ever.
TEST_F(Lifecycle, ATeamsLimitIsGatheredForItsWaitingGang) {
    Machine &x = machine("vm-1"), &y = machine("vm-2");
    machine("vm-3");
    Job& low = add(spec("job-1", 2));
    low.spec.priority = PriorityClass::kIdle;
    Job& same = add(spec("job-2", 2));
    ASSERT_EQ(pull({&x, &y}).size(), 4u) << "the limit is used up";
    committed(low);
    committed(same);
    now += 1;
    Job& gang = add(spec("job-3", 3, JobKind::kGang));
    JobSpec idle = spec("job-5", 1);
    idle.priority = PriorityClass::kIdle;
    Job& lower = add(idle);
    config.teams[0].gpus_max = 5;
    EXPECT_TRUE(pull({&x, &y, cluster.machine("vm-3")}).empty()) << "what is free is kept from lower work";
    EXPECT_EQ(lower.wait_reason, WaitReason::kTeamLimit);
    config.teams[0].gpus_max = 4;
    now += settings.begin_bound_s + 1;
    pull({&x});
    auto stopping = [&](Job& j) {
        return std::count_if(j.live.begin(), j.live.end(), [](auto& p) { return p.second.stopping; });
    };
    EXPECT_EQ(stopping(low), 0) << "stopping them would not do, there is too little of it";
    gang.spec.tasks = 2;
    gang.pending = Ranges::whole(2);
    pull({&x});
    EXPECT_EQ(stopping(low), 2);
    EXPECT_EQ(stopping(same), 0);
    // Not enough came free, and a small job comes.
    gang.spec.tasks = 3;
    gang.pending = Ranges::whole(3);
    low.cancelled = true;
    for (const auto& r : std::vector(jobs.on_machine("vm-1")))
        if (r.job->spec.id == "job-1") jobs.machine_deleted("vm-1", now);
    add(spec("job-4", 1));
    EXPECT_TRUE(pull({&x, &y}).empty()) << "what is free of the limit is kept";
    EXPECT_EQ(gang.wait_reason, WaitReason::kTeamLimit);
    // Now the limit would do, but machines are missing: it stays kept, or what was stopped for the gang
    // would be started again, and stopped again.
    config.teams[0].gpus_max = cluster.teams["team"].gpus + 2;
    gang.spec.tasks = 2;
    gang.spec.single_zone = true;
    gang.spec.zone = "b";
    gang.pending = Ranges::whole(2);
    EXPECT_TRUE(pull({&x, &y, cluster.machine("vm-3")}).empty());
    EXPECT_EQ(gang.wait_reason, WaitReason::kGangRoom);
}

// In an overload an array that lost the aim for its start goes after one that can still make it.
TEST_F(Lifecycle, ServesArraysThatCanMakeTheirStartAimFirst) {
    config.wait_within["c"] = {50, 100};
    config.teams[0].gpus_max = 2;
    JobSpec old = spec("job-1", 2), young = spec("job-2", 2);
    old.job_class = young.job_class = "c";
    add(old);
    now += 60;
    add(young);
    Machine& h = machine("vm-1");
    auto b = pull({&h});
    ASSERT_EQ(b.size(), 2u);
    EXPECT_EQ(b[0].job->spec.id, "job-2");
    EXPECT_EQ(b[1].job->spec.id, "job-2");
}

// A task that was stopped after its start has made its start aim or not; only its end is still open. Put
// behind the first starts of younger arrays for start aims that no longer matter, old arrays were not done in
// time.
TEST_F(Lifecycle, StartAimsDoNotHoldBackWhatHasBegun) {
    config.wait_within["c"] = {50, 100};
    config.finish_within["c"] = 400;
    JobSpec s = spec("job-1", 2);
    s.job_class = "c";
    Job& old = add(s);
    Machine& h = machine("vm-1");
    ASSERT_EQ(pull({&h}).size(), 2u);
    committed(old);
    now += 60;
    jobs.machine_deleted("vm-1", now);
    cluster.machines.erase("vm-1");
    s.id = "job-2";
    add(s);
    auto b = pull({&machine("vm-2")});
    ASSERT_EQ(b.size(), 2u);
    EXPECT_EQ(b[0].job->spec.id, "job-1");
    EXPECT_EQ(b[1].job->spec.id, "job-1");
}

// What is kept of the limit for a starved gang does not count against itself: it still keeps the machines
// that come free.
TEST_F(Lifecycle, AStarvedGangKeepsLimitAndMachines) {
    Machine &x = machine("vm-1"), &y = machine("vm-2");
    JobSpec longer = spec("job-1", 1);
    longer.gpus = 2;
    longer.estimate_s = 300;
    Job& busy = add(longer);
    jobs.bind(busy, 0, y, 1, now);
    committed(busy);
    config.teams[0].gpus_max = 6;
    JobSpec g = spec("job-2", 2, JobKind::kGang);
    g.gpus = 2;
    g.single_zone = true;
    add(g);
    Team other;
    other.name = "other";
    config.teams.push_back(other);
    JobSpec theirs = spec("job-3", 1);
    theirs.team = "other";
    theirs.estimate_s = 900;
    now += settings.begin_bound_s + 1;
    add(theirs);
    EXPECT_TRUE(pull({&x}).empty()) << "the machine is kept, from other teams as well";
    jobs.machine_deleted("vm-2", now);
    busy.done = Ranges::whole(1);
    busy.pending = {};
    EXPECT_EQ(pull({&x, &y}).size(), 2u);
}

// What a scheduling pass, a rental plan and a take-over cost grows with the fleet, although jobs wait in
// proportion to it: like tasks are decided as a class. Looked at job by job, 1,000 machines cost 16 times
// what 250 do, and a scheduling pass took longer than the leader's share of a core allows.
TEST_F(Lifecycle, TheCostOfAPassGrowsWithTheFleetAndNotItsSquare) {
    struct Cost {
        uint64_t round = 0, plan = 0;
    };
    auto cost = [&](int machines) {
        cluster.machines.clear();
        jobs.clear();
        config.teams[0].gpus_max = 0;
        std::vector<Machine*> fleet_machines;
        for (int i = 0; i < machines; ++i)
            fleet_machines.push_back(&machine("vm-" + std::to_string(10000 + i), i % 2 ? "a" : "b"));
        // Half of the fleet runs an array that yields, half one that does not.
        for (int i = 0; i < machines; i += 10) {
            JobSpec s = spec("job-" + std::to_string(i), 20);
            s.priority = i % 20 ? PriorityClass::kIdle : PriorityClass::kHigh;
            Job& j = add(s);
            for (uint32_t t = 0; t < 20; ++t)
                jobs.bind(j, t, *fleet_machines[static_cast<size_t>(i) + t / 2], 1, now).seen = true;
        }
        for (int i = 0; i < machines / 5; ++i) {
            JobSpec s = spec("job-w" + std::to_string(i), i % 2 ? 1u << (i % 5) : 5,
                             i % 2 ? JobKind::kGang : JobKind::kArray);
            s.priority = i % 2 ? PriorityClass::kHigh : PriorityClass::kStandard;
            s.single_zone = s.gang();
            s.image = "img-" + std::to_string(i % 6);
            add(s);
        }
        Cost c;
        recount(cluster, jobs, now, 6);
        SchedulerInput in{config, settings, now, {}, kNewestRecordFormat, &c.round};
        for (int i = 0; i < machines; i += 50)
            in.requesting_machines.push_back(fleet_machines[static_cast<size_t>(i)]);
        schedule(cluster, jobs, in);
        recount(cluster, jobs, now, 6);
        ScalingInput f{config, settings, now, now, {}, {}, false, {}, &c.plan};
        plan_scaling(cluster, jobs, f);
        return c;
    };
    Cost small = cost(250), large = cost(1000);
    EXPECT_GT(small.round, 250u);
    EXPECT_LT(large.round, 6 * small.round) << small.round << " to " << large.round;
    EXPECT_LT(large.plan, 6 * small.plan + 1000) << small.plan << " to " << large.plan;
}

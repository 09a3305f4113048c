// Services: replicas that run until their job is cancelled. Without I/O, then through a whole controller.
#include <gtest/gtest.h>

#include <algorithm>

#include "base/constants.h"
#include "fleet/scaling_plan.h"
#include "jobs/resource_accounting.h"
#include "scheduler/scheduler.h"
#include "standins/deployment.h"
#include "standins/scheduling_test.h"
#include "users/wire.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

struct Service : ServiceTest {};

}  // namespace

TEST_F(Service, IsNeverDoneWhateverItsReplicasReport) {
    Job& job = add_job(service_spec("job-1", 1));
    Machine& machine = add_machine("vm-1");
    ASSERT_EQ(start_on({&machine}), 1u);
    for (ExitCause cause : {ExitCause::kDone, ExitCause::kError, ExitCause::kStopped, ExitCause::kNoRoom,
                            ExitCause::kBusy, ExitCause::kUnknownJob}) {
        uint64_t attempt = job.live.at(0).attempt;
        now += 60;
        report_tasks(machine);
        exit_all(machine, cause);
        EXPECT_FALSE(job.finished());
        EXPECT_TRUE(job.done.empty()) << "a poll would count it";
        EXPECT_EQ(job.to_record().phase(), JobPhase::kPending);
        auto o = jobs.commands(machine, LaunchCommands::kInclude);
        EXPECT_TRUE(o.empty()) << "an exit is forgotten only once what came of it is committed";
        ASSERT_EQ(start_on({&machine}), 1u) << "it ran for a while: it is started again at once, also here";
        EXPECT_GT(job.live.at(0).attempt, attempt);
        carry_out_commands(machine);  // launched, after the old attempt was forgotten
        ASSERT_EQ(job.live.size(), 1u);
    }
    // An exit `done` of an attempt that was given up, too.
    tasks_on[machine.name] = {{{"job-1", 0}, 1, TaskPhase::kExited, ExitCause::kDone, false}};
    jobs.machine_deleted("vm-1", now);
    report_tasks(machine);
    EXPECT_TRUE(job.done.empty());
    // And what an earlier version took for done.
    JobRecord record;
    record.spec = service_spec("job-2", 2);
    record.done.add(0);
    Job& old = jobs.load(record, 5, now, {0});
    EXPECT_EQ(old.pending.size(), 2u);
    jobs.cancel(job, now);
    EXPECT_EQ(job.to_record().phase(), JobPhase::kCancelled);
}

// Replaced as soon as it cannot be live any more, and no sooner.
TEST_F(Service, ReplacesAReplicaWhoseMachineIsGoneOnlyOnceThatIsCertain) {
    Job& job = add_job(service_spec("job-1", 1));
    Machine &first = add_machine("vm-1"), &y = add_machine("vm-2");
    ASSERT_EQ(start_on({&first}), 1u);
    now += 500;
    EXPECT_TRUE(schedule_for({&y}).empty()) << "silent, its machine may still run it";
    jobs.machine_deleted("vm-1", now);
    cluster.machines.erase("vm-1");
    ASSERT_EQ(schedule_for({&y}).size(), 1u);
    EXPECT_EQ(job.live.at(0).machine, "vm-2");
    // Lost with its worker's lease: a newer report lacks it.
    carry_out_commands(y);
    tasks_on["vm-2"].clear();
    report_tasks(y);
    EXPECT_EQ(job.pending.size(), 1u);
}

TEST_F(Service, EndsNoOtherWorkAndYieldsToNone) {
    Machine& machine = add_machine("vm-1");
    JobSpec low = service_spec("job-1", 4);
    low.priority = PriorityClass::kIdle;
    low.cpus = 4;
    Job& job = add_job(low);
    settings.preempt_after_s = 0;
    now += 10;
    ASSERT_EQ(start_on({&machine}), 4u);
    now += 60;
    JobSpec gang_spec = batch_spec("job-2", 1, PriorityClass::kProduction);
    gang_spec.kind = JobKind::kGang;
    add_job(gang_spec);
    schedule_for({&machine});
    EXPECT_EQ(count_stopping(job), 0u);
}

// Nor is it expected to come free by itself, whatever its user gave as an estimate.
TEST_F(Service, IsNoRoomToCountOn) {
    Machine &first = add_machine("vm-1"), &y = add_machine("vm-2");
    JobSpec spec = service_spec("job-1", 1);
    spec.cpus = 16;
    spec.gpus = 1;
    spec.memory_gb = 8;
    spec.estimate_s = 30;
    add_job(spec);
    ASSERT_EQ(start_on({&first}), 1u);
    now += 25;
    report_tasks(first);
    // An array that waits is not put off until a replica ends.
    Job& busy = add_job(batch_spec("job-2", 1, PriorityClass::kStandard));
    jobs.bind(busy, 0, y, 1, now);
    Job& waits = add_job(batch_spec("job-3", 1, PriorityClass::kStandard));
    EXPECT_EQ(plan().rent.size(), 1u);
    jobs.erase(waits.spec.id);
    // And a gang that would need its machine is not in sight: what is kept for it meanwhile is lent.
    jobs.erase(busy.spec.id);
    JobSpec gang_spec = batch_spec("job-4", 2, PriorityClass::kStandard);
    gang_spec.kind = JobKind::kGang;
    add_job(gang_spec);
    add_job(batch_spec("job-5", 1, PriorityClass::kStandard));
    auto b = schedule_for({&y});
    ASSERT_EQ(b.size(), 1u);
    EXPECT_EQ(b[0].job->spec.id, "job-5");
}

TEST_F(Service, OfProductionRankPreemptsLowerWorkAtOnce) {
    Machine& first = add_machine("vm-1");
    Job& low = add_job(batch_spec("job-1", 1, PriorityClass::kHigh));
    ASSERT_EQ(start_on({&first}), 1u);
    add_job(service_spec("job-2", 1));
    EXPECT_TRUE(schedule_for({&first}).empty());
    EXPECT_EQ(count_stopping(low), 1u);
    EXPECT_TRUE(schedule_for({&first}).empty()) << "not before the old task has exited";
    carry_out_commands(first);
    auto b = schedule_for({&first});
    ASSERT_FALSE(b.empty());
    EXPECT_EQ(b[0].job->spec.id, "job-2") << "it goes first";
}

// Also work within its team's guarantee, and a gang as a whole, if nothing else gives room.
TEST_F(Service, OfProductionRankPreemptsGangsAndGuaranteedWorkOfLowerRank) {
    Team sure;
    sure.name = "sure";
    sure.gpus = 100;
    config.teams.push_back(sure);
    Machine &first = add_machine("vm-1"), &y = add_machine("vm-2");
    JobSpec gang_spec = batch_spec("job-1", 2, PriorityClass::kHigh);
    gang_spec.kind = JobKind::kGang;
    gang_spec.team = "sure";
    Job& gang = add_job(gang_spec);
    ASSERT_EQ(start_on({&first, &y}), 2u);
    // Of equal rank it does not.
    Job& equal = add_job(service_spec("job-2", 1));
    equal.spec.priority = PriorityClass::kHigh;
    schedule_for({&first, &y});
    EXPECT_EQ(count_stopping(gang), 0u);
    equal.spec.priority = PriorityClass::kProduction;
    schedule_for({&first, &y});
    EXPECT_EQ(count_stopping(gang), 2u);
}

// Room is made where the zones allow a replica, not where there is most to take.
TEST_F(Service, PreemptsOnlyInZonesThatMayStillTakeAReplica) {
    Machine &in_a = add_machine("vm-1"), &b = add_machine("vm-2", "b");
    Job& low = add_job(batch_spec("job-2", 1, PriorityClass::kStandard));
    ASSERT_EQ(start_on({&b}), 1u);
    JobSpec spec = service_spec("job-1", 2);
    spec.spread_across_zones = true;
    Job& job = add_job(spec);
    ASSERT_EQ(schedule_for({&in_a}).size(), 1u) << "half, rounded up, though there is room for both";
    EXPECT_EQ(count_stopping(low), 1u);
    EXPECT_EQ(job.pending.size(), 1u);
    // Without the lower work it is a machine of that zone that is rented.
    jobs.erase("job-2");
    cluster.machines.erase("vm-2");
    ScalingPlan plan_made = plan();
    ASSERT_EQ(plan_made.rent.size(), 1u);
    EXPECT_EQ(plan_made.rent[0].kind.zone, "b");
}

TEST_F(Service, IsApartInAReplacementToo) {
    std::vector<Machine*> a, b;
    for (int i = 0; i < 4; ++i) a.push_back(&add_machine("vm-a" + std::to_string(i)));
    for (int i = 0; i < 4; ++i) b.push_back(&add_machine("vm-b" + std::to_string(i), "b"));
    JobSpec spec = service_spec("job-1", 5);
    spec.spread_across_zones = true;
    Job& job = add_job(spec);
    EXPECT_EQ(start_on(a), 3u);
    EXPECT_EQ(start_on(a), 0u) << "half, rounded up, is there";
    EXPECT_EQ(start_on(b), 2u);
    std::string lost;
    for (const auto& [task, p] : job.live)
        if (p.zone == "b") lost = p.machine;
    now += 60;
    jobs.machine_deleted(lost, now);
    cluster.machines.erase(lost);
    tasks_on.erase(lost);
    EXPECT_EQ(start_on(a), 0u);
    std::vector<Machine*> left;
    for (auto& [name, h] : cluster.machines)
        if (h->zone == "b") left.push_back(h.get());
    EXPECT_EQ(start_on(left), 1u);
    EXPECT_EQ(placements_by(job, &Placement::zone), (std::map<std::string, int>{{"a", 3}, {"b", 2}}));
}

// One loss takes one replica, and a wave of spot machines taken back at most half.
TEST_F(Service, SpreadsOverMachinesAndKinds) {
    std::vector<Machine*> all;
    for (int i = 0; i < 4; ++i)
        all.push_back(&add_machine("vm-" + std::to_string(i), MachineKind{"g2", "a", i < 2}));
    JobSpec spec = service_spec("job-1", 4);
    spec.spot = true;
    Job& job = add_job(spec);
    EXPECT_EQ(start_on({all[0]}), 1u) << "the others of this machine wait for other machines";
    EXPECT_EQ(job.wait.reason, WaitReason::kHeldForSpread);
    EXPECT_EQ(start_on(all), 3u);
    EXPECT_EQ(placements_by(job, &Placement::machine).size(), 4u);
    // Not for long: a machine that asks is better than one that may ask.
    Job& other_job = add_job(service_spec("job-2", 3));
    EXPECT_EQ(start_on({all[2]}), 1u);
    now += constants::kSpreadWait_s;
    EXPECT_EQ(start_on({all[2]}), 1u);
    now += constants::kSpreadWait_s;
    EXPECT_EQ(start_on({all[2]}), 1u);
    EXPECT_EQ(other_job.live.size(), 3u);
    // Three on spot machines would be too many of four.
    add_spot_machine("vm-9");
    spec.id = "job-3";
    Job& spot_job = add_job(spec);
    EXPECT_EQ(start_on({all[0], all[1], cluster.machine("vm-9")}), 2u);
    EXPECT_EQ(start_on({all[2], all[3]}), 2u);
    EXPECT_EQ(spot_job.live.size(), 4u);
}

TEST_F(Service, WaitsForAnImageOnlyWhereThatIsSooner) {
    Machine &first = add_machine("vm-1"), &y = add_machine("vm-2");
    JobSpec spec = service_spec("job-1", 1);
    spec.image_gb = 1;  // fetched in a second; the holder's next report may be four away
    first.cache.use(spec.image, 1);
    add_job(spec);
    EXPECT_EQ(schedule_for({&y}).size(), 1u);
    spec.id = "job-2";
    spec.image_gb = 10;
    add_job(spec);
    EXPECT_TRUE(schedule_for({&y}).empty());
    EXPECT_EQ(schedule_for({&first}).size(), 1u);
    // For half as long as the fetch takes.
    spec.id = "job-3";
    spec.image_gb = 5;
    add_job(spec);
    EXPECT_TRUE(schedule_for({&y}).empty());
    now += 2.5;
    EXPECT_EQ(schedule_for({&y}).size(), 1u);
}

// Work that never ends is not lent what is kept for a gang, and is never late.
TEST_F(Service, IsNotTakenForShortWork) {
    config.wait_within["c"] = {2};
    JobSpec spec = service_spec("job-1", 1);
    spec.job_class = "c";
    spec.due_s = 5;
    spec.priority = PriorityClass::kIdle;
    spec.cpus = 16;
    Job& job = add_job(spec);
    now += 50;
    EXPECT_EQ(job.missed_objectives(config, now), 0);
    EXPECT_FALSE(job.likely_late(config, now));
    Machine &first = add_machine("vm-1"), &y = add_machine("vm-2");
    Job& busy = add_job(batch_spec("job-2", 1, PriorityClass::kStandard));
    jobs.bind(busy, 0, y, 1, now);
    JobSpec gang_spec = batch_spec("job-3", 2, PriorityClass::kStandard);
    gang_spec.kind = JobKind::kGang;
    add_job(gang_spec);
    EXPECT_TRUE(schedule_for({&first}).empty()) << "kept for the gang, which waits for the other machine";
}

// It ends at once wherever it is started: that is its own fault. It is tried again less and less often, and
// no machine is condemned for it.
TEST_F(Service, BacksOffWhenItEndsAtOnceWithoutCondemningMachines) {
    std::vector<Machine*> all;
    for (int i = 0; i < 6; ++i) all.push_back(&add_machine("vm-" + std::to_string(i)));
    Job& job = add_job(service_spec("job-1", 1));
    std::vector<Seconds> starts;
    for (int step = 0; step < 1200 && starts.size() < 10; ++step, now += 0.5) {
        if (start_on(all) == 0) continue;
        starts.push_back(now);
        Machine* machine = cluster.machine(job.live.at(0).machine);
        exit_all(*machine, starts.size() % 2 ? ExitCause::kError : ExitCause::kDone);
        carry_out_commands(*machine);
    }
    ASSERT_EQ(starts.size(), 10u);
    EXPECT_LE(starts[2] - starts[0], 2) << "the first starts follow at once";
    EXPECT_GT(starts[9] - starts[8], 30);
    EXPECT_GT(starts[8] - starts[7], starts[6] - starts[5]);
    EXPECT_TRUE(job.failures.failing);
    for (Machine* machine : all) {
        EXPECT_FALSE(machine->cordoned);
        EXPECT_TRUE(machine->failed_jobs.empty());
    }
    // One that runs for a while has recovered: lost, it is replaced at once.
    now += 200;
    ASSERT_EQ(start_on(all), 1u);
    now += constants::kReplicaSteady_s;
    Machine* machine = cluster.machine(job.live.at(0).machine);
    report_tasks(*machine);
    EXPECT_FALSE(job.failures.failing);
    exit_all(*machine, ExitCause::kError);
    EXPECT_EQ(start_on(all), 1u);
}

// Replicas of different services fail on one machine and run elsewhere: it is the machine.
TEST_F(Service, CondemnsAMachineThatFailsReplicasOfDifferentServices) {
    Machine &bad = add_machine("vm-1"), &good = add_machine("vm-2");
    for (const char* id : {"job-1", "job-2"}) {
        Job& job = add_job(service_spec(id, 1));
        ASSERT_EQ(start_on({&bad}), 1u);
        exit_all(bad, ExitCause::kError);
        ASSERT_EQ(start_on({&bad, &good}), 1u);
        EXPECT_EQ(job.live.at(0).machine, "vm-2") << "at once, and not where it failed";
        carry_out_commands(bad);
    }
    EXPECT_TRUE(bad.cordoned);
}

// From a machine that is condemned or emptied replicas move one at a time: the next when the last one's
// successor runs. What can wait does not make a service small.
TEST_F(Service, MovesReplicasOneAtATime) {
    Machine& first = add_machine("vm-1");
    Job& job = add_job(service_spec("job-1", 3));
    now += constants::kSpreadWait_s;
    ASSERT_EQ(start_on({&first}), 3u);
    Machine& second = add_machine("vm-2");
    first.draining = true;
    now += 60;
    for (size_t left = 3; left > 0; --left) {
        EXPECT_EQ(placements_by(job, &Placement::machine)["vm-1"], static_cast<int>(left));
        jobs.move_replicas(cluster);
        now += 1;
        jobs.move_replicas(cluster);
        EXPECT_EQ(count_stopping(job), 1u);
        carry_out_commands(first);
        EXPECT_EQ(job.pending.size(), 1u);
        now += 1;
        jobs.move_replicas(cluster);
        EXPECT_EQ(count_stopping(job), 0u) << "its successor does not run yet";
        ASSERT_EQ(start_on({&first, &second}), 1u);
    }
    EXPECT_EQ(placements_by(job, &Placement::machine)["vm-2"], 3);
}

TEST_F(Service, IsRefusedIfItsReplicasCannotAllRun) {
    config.teams[0].cpus_max = 6;
    JobSpec spec = service_spec("job-1", 6);
    EXPECT_EQ(never_runnable(spec, config, cluster.machine_types), "");
    spec.tasks = 7;
    EXPECT_NE(never_runnable(spec, config, cluster.machine_types), "");
    spec.tasks = 1;
    spec.cpus = 17;
    EXPECT_NE(never_runnable(spec, config, cluster.machine_types), "");
}

// What its user sees, from the submission to the cancellation, also through another node.
TEST(ServiceUsers, SeeItRunUntilTheyCancelIt) {
    Deployment deployment(2);
    ASSERT_TRUE(deployment.start_and_elect());
    int lead = deployment.leader(), other = 1 - lead;
    deployment.run(1);
    EXPECT_EQ(deployment.call(other, "POST", "/v2/runs", service_body("job-1", 1)).status, 201);
    EXPECT_EQ(phase_of(deployment.call(other, "GET", "/v2/runs/job-1")), "pending");
    FakeWorker worker;
    deployment.settle(worker);
    for (ExitCause cause : {ExitCause::kDone, ExitCause::kDone, ExitCause::kDone}) {
        deployment.send_report(worker, lead);
        deployment.send_report(worker, lead);
        ASSERT_TRUE(worker.find("job-1/0"));
        EXPECT_EQ(phase_of(deployment.call(other, "GET", "/v2/runs/job-1")), "running");
        for (int i = 0; i < 8; ++i) {
            deployment.run(3);
            deployment.send_report(worker, lead);
        }
        ASSERT_TRUE(worker.find("job-1/0"));
        exit_task(*worker.find("job-1/0"), cause);
        deployment.send_report(worker, lead);
        deployment.run(0.5);
        std::string now = phase_of(deployment.call(other, "GET", "/v2/runs/job-1"));
        EXPECT_TRUE(now == "pending" || now == "running") << now;
        EXPECT_EQ(deployment.call(other, "POST", "/v2/runs", service_body("job-1", 1)).status, 200);
    }
    deployment.send_report(worker, lead);
    ASSERT_TRUE(worker.find("job-1/0"));
    std::string page = deployment.call(lead, "GET", "/operator/jobs").body;
    EXPECT_NE(page.find("job-1 service team team 1 of 1 replicas up"), std::string::npos) << page;
    EXPECT_EQ(phase_of(deployment.call(other, "POST", "/v2/runs/job-1/withdraw")), "withdrawn");
    deployment.run(0.5);
    deployment.send_report(worker, lead);
    deployment.send_report(worker, lead);
    deployment.run(0.5);
    EXPECT_EQ(phase_of(deployment.call(lead, "GET", "/v2/runs/job-1")), "withdrawn");
    EXPECT_EQ(deployment.store.rows.count("j/job-1"), 0u);
    EXPECT_EQ(phase_of(deployment.call(other, "POST", "/v2/runs/job-1/withdraw")), "withdrawn");
}

// With a spot notice its replicas end at once, so that their successors start while the machine is still
// there; and the successor only when the exit is reported.
TEST(ServiceUsers, KeepItWhenAMachineIsAboutToGo) {
    Deployment deployment;
    ASSERT_TRUE(deployment.start_and_elect());
    deployment.run(1);
    FakeWorker first, second;
    second.name = "vm-000002";
    deployment.settle(first);
    ASSERT_EQ(deployment.call(0, "POST", "/v2/runs", service_body("job-1", 1)).status, 201);
    deployment.send_report(first, 0);
    deployment.send_report(first, 0);
    ASSERT_TRUE(first.find("job-1/0"));
    deployment.settle(second);
    first.notice_s = 20;
    deployment.send_report(first, 0);
    ASSERT_TRUE(first.find("job-1/0"));
    EXPECT_EQ(first.find("job-1/0")->phase, TaskPhase::kExited) << "told to stop in the answer to the notice";
    deployment.send_report(second, 0);
    EXPECT_FALSE(second.find("job-1/0")) << "its exit is not reported yet";
    deployment.send_report(first, 0);
    deployment.send_report(second, 0);
    ASSERT_TRUE(second.find("job-1/0"));
    EXPECT_EQ(second.find("job-1/0")->attempt, 2u);
    deployment.send_report(first, 0);
    EXPECT_TRUE(first.tasks.empty()) << "and nothing comes back to the machine that goes";
}

// While there are services, a busy machine's report is held briefly: a replica that comes is launched at
// once. With something to tell, it is answered at once.
TEST(ServiceUsers, NeedNotWaitForTheNextReportOfABusyMachine) {
    Deployment deployment;
    ASSERT_TRUE(deployment.start_and_elect());
    deployment.run(1);
    FakeWorker worker;
    deployment.settle(worker);
    ASSERT_EQ(deployment.call(0, "POST", "/v2/runs", job_body("job-1")).status, 201);
    deployment.send_report(worker, 0);
    deployment.send_report(worker, 0);
    ASSERT_TRUE(worker.find("job-1/0"));
    auto took = [&] {
        Seconds began = deployment.loop.now();
        EXPECT_EQ(deployment.send_report(worker, 0), 200);
        return deployment.loop.now() - began;
    };
    EXPECT_LT(took(), 0.3) << "without services its next change must come through";
    ASSERT_EQ(deployment.call(0, "POST", "/v2/runs", service_body("job-2", 1)).status, 201);
    EXPECT_LT(took(), 0.3) << "there is something to launch";
    EXPECT_TRUE(worker.find("job-2/0"));
    Seconds held = took();
    EXPECT_GT(held, 0.8 * constants::kHoldBusy_s);
    EXPECT_LT(held, constants::kHoldBusy_s + 0.3);
    // One that comes meanwhile goes into the answer.
    Scope scope(deployment.loop);
    bool done = false;
    auto later = [](Deployment& owner, Answer& out, bool& d) -> Task<void> {
        co_await owner.loop.sleep(0.3);
        HttpClient http(owner.loop, owner.configs[0].listen, 1);
        out = co_await http.call("POST", "/v2/runs", service_body("job-3", 1), 4.0);
        d = true;
    };
    Answer out;
    scope.spawn(later(deployment, out, done), "submission");
    EXPECT_LT(took(), 0.6);
    EXPECT_TRUE(worker.find("job-3/0"));
    EXPECT_TRUE(deployment.until([&] { return done; }));
    // What has ended is forgotten without delay.
    exit_task(*worker.find("job-1/0"), ExitCause::kDone);
    EXPECT_LT(took(), 0.3);
}

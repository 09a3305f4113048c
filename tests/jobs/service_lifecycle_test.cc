// Services: replicas that run until their job is cancelled.
#include <gtest/gtest.h>

#include "base/constants.h"
#include "standins/scheduling_fixture.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

struct ServiceLifecycle : ServiceTest {};

}  // namespace

TEST_F(ServiceLifecycle, IsNeverDoneWhateverItsReplicasReport) {
    Job& job = add_job(service_spec("job-1", 1));
    Machine& machine = add_machine("vm-1");
    ASSERT_EQ(start_on({&machine}), 1U);
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
        ASSERT_EQ(start_on({&machine}), 1U) << "it ran for a while: it is started again at once, also here";
        EXPECT_GT(job.live.at(0).attempt, attempt);
        carry_out_commands(machine);  // launched, after the old attempt was forgotten
        ASSERT_EQ(job.live.size(), 1U);
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
    EXPECT_EQ(old.pending.size(), 2U);
    jobs.cancel(job, now);
    EXPECT_EQ(job.to_record().phase(), JobPhase::kCancelled);
}

// Replaced as soon as it cannot be live any more, and no sooner.
TEST_F(ServiceLifecycle, ReplacesAReplicaWhoseMachineIsGoneOnlyOnceThatIsCertain) {
    Job& job = add_job(service_spec("job-1", 1));
    Machine &first = add_machine("vm-1"), &y = add_machine("vm-2");
    ASSERT_EQ(start_on({&first}), 1U);
    now += 500;
    EXPECT_TRUE(schedule_for({&y}).empty()) << "silent, its machine may still run it";
    jobs.machine_deleted("vm-1", now);
    cluster.machines.erase("vm-1");
    ASSERT_EQ(schedule_for({&y}).size(), 1U);
    EXPECT_EQ(job.live.at(0).machine, "vm-2");
    // Lost with its worker's lease: a newer report lacks it.
    carry_out_commands(y);
    tasks_on["vm-2"].clear();
    report_tasks(y);
    EXPECT_EQ(job.pending.size(), 1U);
}

// It ends at once wherever it is started: that is its own fault. It is tried again less and less often, and
// no machine is condemned for it.
TEST_F(ServiceLifecycle, BacksOffWhenItExitsAtOnceWithoutCordoningMachines) {
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
    ASSERT_EQ(starts.size(), 10U);
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
    ASSERT_EQ(start_on(all), 1U);
    now += constants::kReplicaStableRun_s;
    Machine* machine = cluster.machine(job.live.at(0).machine);
    report_tasks(*machine);
    EXPECT_FALSE(job.failures.failing);
    exit_all(*machine, ExitCause::kError);
    EXPECT_EQ(start_on(all), 1U);
}

// Replicas of different services fail on one machine and run elsewhere: it is the machine.
TEST_F(ServiceLifecycle, CordonsAMachineThatFailsReplicasOfDifferentServices) {
    Machine &bad = add_machine("vm-1"), &good = add_machine("vm-2");
    for (const char* id : {"job-1", "job-2"}) {
        Job& job = add_job(service_spec(id, 1));
        ASSERT_EQ(start_on({&bad}), 1U);
        exit_all(bad, ExitCause::kError);
        ASSERT_EQ(start_on({&bad, &good}), 1U);
        EXPECT_EQ(job.live.at(0).machine, "vm-2") << "at once, and not where it failed";
        carry_out_commands(bad);
    }
    EXPECT_TRUE(bad.cordoned);
}

// From a machine that is condemned or emptied replicas move one at a time: the next when the last one's
// successor runs. What can wait does not make a service small.
TEST_F(ServiceLifecycle, MovesReplicasOneAtATime) {
    Machine& first = add_machine("vm-1");
    Job& job = add_job(service_spec("job-1", 3));
    now += constants::kReplicaSpreadWait_s;
    ASSERT_EQ(start_on({&first}), 3U);
    Machine& second = add_machine("vm-2");
    first.draining = true;
    now += 60;
    for (size_t left = 3; left > 0; --left) {
        EXPECT_EQ(placements_by(job, &Placement::machine)["vm-1"], static_cast<int>(left));
        jobs.move_replicas(cluster);
        now += 1;
        jobs.move_replicas(cluster);
        EXPECT_EQ(count_stopping(job), 1U);
        carry_out_commands(first);
        EXPECT_EQ(job.pending.size(), 1U);
        now += 1;
        jobs.move_replicas(cluster);
        EXPECT_EQ(count_stopping(job), 0U) << "its successor does not run yet";
        ASSERT_EQ(start_on({&first, &second}), 1U);
    }
    EXPECT_EQ(placements_by(job, &Placement::machine)["vm-2"], 3);
}

// The lifecycle of services, whose replicas run until the job is cancelled.
#include <gtest/gtest.h>

#include "base/constants.h"
#include "standins/scheduling_fixture.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

struct ServiceLifecycle : ServiceTest {};

}  // namespace

TEST_F(ServiceLifecycle, IsNeverDoneAfterReplicaExits) {
    Job& job = add_job(service_spec("job-1", 1));
    Machine& machine = add_machine("vm-1");
    ASSERT_EQ(start_on({&machine}), 1U);
    for (ExitCause cause : {ExitCause::kDone, ExitCause::kError, ExitCause::kStopped, ExitCause::kNoRoom,
                            ExitCause::kBusy, ExitCause::kUnknownJob}) {
        uint64_t attempt = job.live.at(0).attempt;
        now += 60;
        apply_next_heartbeat(machine);
        exit_all(machine, cause);
        EXPECT_FALSE(job.finished());
        EXPECT_TRUE(job.done.empty()) << "users' polls would count it as done";
        EXPECT_EQ(job.to_record().phase(), JobPhase::kPending);
        auto commands = jobs.commands(machine, LaunchCommands::kInclude);
        EXPECT_TRUE(commands.empty()) << "an exit must not be forgotten before its effect is committed";
        ASSERT_EQ(start_on({&machine}), 1U)
            << "after running for a while it is restarted immediately, on the same machine too";
        EXPECT_GT(job.live.at(0).attempt, attempt);
        execute_commands(machine);  // forgets the old attempt, then launches the new one
        ASSERT_EQ(job.live.size(), 1U);
    }
    // Nor does the exit `done` of an attempt that is no longer placed make it done.
    tasks_on[machine.name] = {{{"job-1", 0}, 1, TaskPhase::kExited, ExitCause::kDone, false}};
    jobs.on_machine_deleted("vm-1", now);
    apply_next_heartbeat(machine);
    EXPECT_TRUE(job.done.empty());
    // Replicas that an earlier version recorded as done are pending.
    JobRecord record;
    record.spec = service_spec("job-2", 2);
    record.done.add(0);
    Job& old_job = jobs.load(record, 5, now, {0});
    EXPECT_EQ(old_job.pending.size(), 2U);
    jobs.cancel(job, now, now);
    EXPECT_EQ(job.to_record().phase(), JobPhase::kCancelled);
}

// A replica must not be replaced while it may still be live: two would run at the same time.
TEST_F(ServiceLifecycle, ReplacesReplicaOnlyAfterItsMachineIsDeleted) {
    Job& job = add_job(service_spec("job-1", 1));
    Machine &first = add_machine("vm-1"), &second = add_machine("vm-2");
    ASSERT_EQ(start_on({&first}), 1U);
    now += 500;
    EXPECT_TRUE(schedule_for({&second}).empty()) << "a machine without heartbeats may still run it";
    jobs.on_machine_deleted("vm-1", now);
    cluster.machines.erase("vm-1");
    ASSERT_EQ(schedule_for({&second}).size(), 1U);
    EXPECT_EQ(job.live.at(0).machine, "vm-2");
    // The worker's lease expires and its tasks end: a newer heartbeat does not list the replica.
    execute_commands(second);
    tasks_on["vm-2"].clear();
    apply_next_heartbeat(second);
    EXPECT_EQ(job.pending.size(), 1U);
}

// A replica that exits quickly on every machine is itself at fault: it is restarted with exponential
// back-off, and no machine is cordoned for it.
TEST_F(ServiceLifecycle, BacksOffAfterQuickExitsWithoutCordoningMachines) {
    std::vector<Machine*> machines;
    for (int i = 0; i < 6; ++i) machines.push_back(&add_machine("vm-" + std::to_string(i)));
    Job& job = add_job(service_spec("job-1", 1));
    std::vector<Seconds> starts;
    for (int step = 0; step < 1200 && starts.size() < 10; ++step, now += 0.5) {
        if (start_on(machines) == 0) continue;
        starts.push_back(now);
        Machine* machine = cluster.machine(job.live.at(0).machine);
        exit_all(*machine, starts.size() % 2 ? ExitCause::kError : ExitCause::kDone);
        execute_commands(*machine);
    }
    ASSERT_EQ(starts.size(), 10U);
    EXPECT_LE(starts[2] - starts[0], 2) << "the first restarts are immediate";
    EXPECT_GT(starts[9] - starts[8], 30);
    EXPECT_GT(starts[8] - starts[7], starts[6] - starts[5]);
    EXPECT_TRUE(job.failures.failing);
    for (Machine* machine : machines) {
        EXPECT_FALSE(machine->cordoned);
        EXPECT_TRUE(machine->failed_jobs.empty());
    }
    // A replica that runs for a while has recovered: after its next exit it is restarted immediately.
    now += 200;
    ASSERT_EQ(start_on(machines), 1U);
    now += constants::kReplicaStableRun_s;
    Machine* machine = cluster.machine(job.live.at(0).machine);
    apply_next_heartbeat(*machine);
    EXPECT_FALSE(job.failures.failing);
    exit_all(*machine, ExitCause::kError);
    EXPECT_EQ(start_on(machines), 1U);
}

// If replicas of different services fail on one machine and run elsewhere, the machine is at fault.
TEST_F(ServiceLifecycle, CordonsMachineWhereReplicasOfDifferentServicesFail) {
    Machine &bad = add_machine("vm-1"), &good = add_machine("vm-2");
    for (const char* id : {"job-1", "job-2"}) {
        Job& job = add_job(service_spec(id, 1));
        ASSERT_EQ(start_on({&bad}), 1U);
        exit_all(bad, ExitCause::kError);
        ASSERT_EQ(start_on({&bad, &good}), 1U);
        EXPECT_EQ(job.live.at(0).machine, "vm-2") << "restarted immediately, on another machine";
        execute_commands(bad);
    }
    EXPECT_TRUE(bad.cordoned);
}

// Replicas move off a cordoned or draining machine one at a time, the next one only when the replacement of
// the previous one is running, so that a service never lacks more than one replica because of a move.
TEST_F(ServiceLifecycle, MovesReplicasOneAtATime) {
    Machine& first = add_machine("vm-1");
    Job& job = add_job(service_spec("job-1", 3));
    now += constants::kReplicaSpreadWait_s;
    ASSERT_EQ(start_on({&first}), 3U);
    Machine& second = add_machine("vm-2");
    first.draining = true;
    now += 60;
    for (size_t remaining = 3; remaining > 0; --remaining) {
        EXPECT_EQ(placements_by(job, &Placement::machine)["vm-1"], static_cast<int>(remaining));
        jobs.move_replicas(cluster);
        now += 1;
        jobs.move_replicas(cluster);
        EXPECT_EQ(count_stopping(job), 1U);
        execute_commands(first);
        EXPECT_EQ(job.pending.size(), 1U);
        now += 1;
        jobs.move_replicas(cluster);
        EXPECT_EQ(count_stopping(job), 0U) << "its replacement is not running yet";
        ASSERT_EQ(start_on({&first, &second}), 1U);
    }
    EXPECT_EQ(placements_by(job, &Placement::machine)["vm-2"], 3);
}

// Detection of unhealthy machines from task failures, stragglers and heartbeats.
#include <gtest/gtest.h>

#include "base/constants.h"
#include "standins/scheduling_fixture.h"

using namespace hareshore;
using namespace hareshore::test;

namespace {

struct MachineHealth : SchedulingTest {};

}  // namespace

TEST_F(MachineHealth, DistinguishesFaultyMachinesFromFaultyJobs) {
    config.teams[0].gpus_max = 0;
    Machine& bad = add_machine("vm-1");
    auto fail = [&](Machine& machine, const std::string& id) {
        Job& job = jobs.find(id) ? *jobs.find(id) : add_job(job_spec(id, 1));
        machine.tasks.clear();
        jobs.bind(job, 0, machine, job.next_attempt++, now);
        mark_committed(job);
        jobs.apply_heartbeat(cluster, machine,
                             heartbeat(machine, {task_status(id, 0, job.live.at(0).attempt,
                                                             TaskPhase::kExited, ExitCause::kError)}),
                             Absence::kProven, now);
    };
    fail(bad, "job-1");
    EXPECT_FALSE(bad.cordoned) << "a single failure is not enough";
    fail(bad, "job-2");
    EXPECT_TRUE(bad.cordoned);
    // A job that fails on every machine does not cause any to be cordoned.
    for (const char* name : {"vm-2", "vm-3", "vm-4", "vm-5"}) {
        Machine& machine = add_machine(name);
        fail(machine, "job-7");
        EXPECT_FALSE(machine.cordoned);
    }
    EXPECT_TRUE(jobs.find("job-7")->failures.failing);
    EXPECT_GT(jobs.find("job-7")->failures.retry_at, now);
    // The cause of the failures may be gone: with resources free, no job may be left waiting for 90 s.
    for (int i = 0; i < 8; ++i) {
        now = jobs.find("job-7")->failures.retry_at;
        fail(add_machine("vm-" + std::to_string(10 + i)), "job-7");
    }
    EXPECT_LT(jobs.find("job-7")->failures.retry_at, now + 75);
}

// Stragglers are recognized by comparison with finished tasks of the same job on other machines. A long run
// time alone must not cordon a machine.
TEST_F(MachineHealth, CordonsStragglingMachines) {
    config.teams[0].gpus_max = 0;
    Job& job = add_job(job_spec("job-1", 8));
    std::vector<Machine*> machines;
    for (int i = 0; i < 4; ++i) machines.push_back(&add_machine("vm-" + std::to_string(i)));
    ASSERT_EQ(schedule_for(machines).size(), 8U);
    mark_committed(job);
    auto send_heartbeat = [&](Machine& machine, TaskPhase phase, ExitCause cause) {
        std::vector<TaskStatus> tasks;
        for (auto& placed : jobs.placements_on(machine.name))
            tasks.push_back(
                task_status(placed.job->spec.id, placed.task, placed.placement->attempt, phase, cause));
        jobs.apply_heartbeat(cluster, machine, heartbeat(machine, tasks), Absence::kProven, now);
    };
    for (Machine* machine : machines) send_heartbeat(*machine, TaskPhase::kRunning, ExitCause::kNone);
    now += 100;
    jobs.cordon_stragglers(cluster, now);
    EXPECT_FALSE(machines[0]->cordoned) << "no finished task to compare with";
    now -= 70;
    for (int i = 1; i < 4; ++i)
        send_heartbeat(*machines[static_cast<size_t>(i)], TaskPhase::kExited, ExitCause::kDone);
    jobs.cordon_stragglers(cluster, now);
    EXPECT_FALSE(machines[0]->cordoned);
    now += 50;
    jobs.cordon_stragglers(cluster, now);
    EXPECT_TRUE(machines[0]->cordoned);
    EXPECT_EQ(jobs.take_machines_with_new_stops().count("vm-0"), 1U) << "its tasks save and are moved";
}

// Repeated launches have no effect although newer heartbeats arrive: the machine does not receive responses.
// Its task is moved to another machine, no more tasks are bound to it, and it is replaced.
TEST_F(MachineHealth, ReplacesMachineThatReceivesNoResponses) {
    Job& job = add_job(job_spec("job-1", 1));
    Machine &unreachable = add_machine("vm-1"), &other = add_machine("vm-2");
    other.cordoned = true;
    ASSERT_EQ(schedule_for({&unreachable}).size(), 1U);
    mark_committed(job);
    for (int i = 0; i < constants::kUnansweredLaunchLimit; ++i) {
        ASSERT_EQ(job.live.count(0), 1U);
        EXPECT_EQ(count_launches(jobs.commands(unreachable, LaunchCommands::kInclude)), 1U);
        jobs.apply_heartbeat(cluster, unreachable, heartbeat(unreachable, {}), Absence::kProven, now += 3);
    }
    EXPECT_TRUE(job.live.empty());
    EXPECT_TRUE(schedule_for({&unreachable}).empty()) << "no tasks are bound to an unreachable machine";
    other.cordoned = false;
    EXPECT_EQ(schedule_for({&unreachable, &other}).size(), 1U);
    auto is_returned = [&] {
        ScalingInput input{config, settings, now, 0, {}, {}, false};
        return plan_scaling(cluster, jobs, input).scales_in("vm-1");
    };
    EXPECT_EQ(is_returned(), 0U);
    now += config.lease_s + 1;
    unreachable.last_heartbeat = other.last_heartbeat = now;
    recount_resources();
    EXPECT_EQ(is_returned(), 1U);
}

// A worker that receives responses numbers its heartbeats to one controller consecutively and keeps its
// lease. Skipped numbers and a new incarnation show that the responses did not arrive.
TEST_F(MachineHealth, InfersReachabilityFromHeartbeatSequence) {
    Machine& machine = add_machine("vm-1");
    auto reachable_after = [&](uint64_t incarnation, uint64_t sequence, bool direct = true) {
        WorkerHeartbeat next = heartbeat(machine, {});
        next.incarnation = incarnation;
        next.sequence = sequence;
        machine.update_reachability(next, direct ? HeartbeatRoute::kDirect : HeartbeatRoute::kRelayed,
                                    config.lease_s, now += 3);
        jobs.apply_heartbeat(cluster, machine, next, Absence::kProven, now);
        machine.record_response(direct, now);
        return !machine.unreachable_since;
    };
    EXPECT_TRUE(reachable_after(1, 10));
    EXPECT_TRUE(reachable_after(1, 11));
    EXPECT_FALSE(reachable_after(1, 14)) << "the skipped heartbeats were sent to other controllers";
    EXPECT_FALSE(reachable_after(1, 15, false)) << "a relayed heartbeat proves nothing";
    EXPECT_FALSE(reachable_after(1, 16));
    EXPECT_TRUE(reachable_after(1, 17));
    machine.record_response(false, now);
    EXPECT_TRUE(reachable_after(1, 20)) << "the reply to a command may have taken a sequence number";
    EXPECT_FALSE(reachable_after(2, 21)) << "its lease expired although a response was sent";
    machine.unreachable_since.reset();
    now += config.lease_s;
    EXPECT_TRUE(reachable_after(3, 40)) << "it was silent for the duration of a lease";
}

// What failures, slow tasks and heartbeats show of a machine.
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
    EXPECT_FALSE(bad.cordoned) << "one failure says little";
    fail(bad, "job-2");
    EXPECT_TRUE(bad.cordoned);
    // One job that fails everywhere costs no machine.
    for (const char* m : {"vm-2", "vm-3", "vm-4", "vm-5"}) {
        Machine& machine = add_machine(m);
        fail(machine, "job-7");
        EXPECT_FALSE(machine.cordoned);
    }
    EXPECT_TRUE(jobs.find("job-7")->failures.failing);
    EXPECT_GT(jobs.find("job-7")->failures.retry_at, now);
    // What made it fail may be over: beside fitting room no job waits for 90 s.
    for (int i = 0; i < 8; ++i) {
        now = jobs.find("job-7")->failures.retry_at;
        fail(add_machine("vm-" + std::to_string(10 + i)), "job-7");
    }
    EXPECT_LT(jobs.find("job-7")->failures.retry_at, now + 75);
}

// A machine that straggles shows against peers of the same job elsewhere; a long job alone shows nothing.
TEST_F(MachineHealth, CordonsStragglingMachines) {
    config.teams[0].gpus_max = 0;
    Job& job = add_job(job_spec("job-1", 8));
    std::vector<Machine*> machines;
    for (int i = 0; i < 4; ++i) machines.push_back(&add_machine("vm-" + std::to_string(i)));
    ASSERT_EQ(schedule_for(machines).size(), 8U);
    mark_committed(job);
    auto state = [&](Machine& machine, TaskPhase p, ExitCause c) {
        std::vector<TaskStatus> t;
        for (auto& r : jobs.on_machine(machine.name))
            t.push_back(task_status(r.job->spec.id, r.task, r.placement->attempt, p, c));
        jobs.apply_heartbeat(cluster, machine, heartbeat(machine, t), Absence::kProven, now);
    };
    for (Machine* machine : machines) state(*machine, TaskPhase::kRunning, ExitCause::kNone);
    now += 100;
    jobs.cordon_stragglers(cluster, now);
    EXPECT_FALSE(machines[0]->cordoned) << "nothing to compare with";
    now -= 70;
    for (int i = 1; i < 4; ++i)
        state(*machines[static_cast<size_t>(i)], TaskPhase::kExited, ExitCause::kDone);
    jobs.cordon_stragglers(cluster, now);
    EXPECT_FALSE(machines[0]->cordoned);
    now += 50;
    jobs.cordon_stragglers(cluster, now);
    EXPECT_TRUE(machines[0]->cordoned);
    EXPECT_EQ(jobs.take_machines_with_new_stops().count("vm-0"), 1U) << "its tasks save and move";
}

// Launch after launch comes to nothing although newer reports arrive: the machine does not hear its answers.
// The task goes elsewhere, nothing more is bound there, and the machine is replaced.
TEST_F(MachineHealth, ReplacesAMachineThatReceivesNoAnswers) {
    Job& job = add_job(job_spec("job-1", 1));
    Machine &deaf = add_machine("vm-1"), &other = add_machine("vm-2");
    other.cordoned = true;
    ASSERT_EQ(schedule_for({&deaf}).size(), 1U);
    mark_committed(job);
    for (int i = 0; i < constants::kUnansweredLaunchLimit; ++i) {
        ASSERT_EQ(job.live.count(0), 1U);
        EXPECT_EQ(count_launches(jobs.commands(deaf, LaunchCommands::kInclude)), 1U);
        jobs.apply_heartbeat(cluster, deaf, heartbeat(deaf, {}), Absence::kProven, now += 3);
    }
    EXPECT_TRUE(job.live.empty());
    EXPECT_TRUE(schedule_for({&deaf}).empty()) << "no room to count on";
    other.cordoned = false;
    EXPECT_EQ(schedule_for({&deaf, &other}).size(), 1U);
    auto returned = [&] {
        ScalingInput in{config, settings, now, 0, {}, {}, false};
        return plan_scaling(cluster, jobs, in).scales_in("vm-1");
    };
    EXPECT_EQ(returned(), 0U);
    now += config.lease_s + 1;
    deaf.last_heartbeat = other.last_heartbeat = now;
    recount_resources();
    EXPECT_EQ(returned(), 1U);
}

// What its reports say of the answers to them: one that is answered stays and numbers its reports one by
// one, and its lease does not end.
TEST_F(MachineHealth, TracksByHeartbeatsWhetherAnswersArrive) {
    Machine& machine = add_machine("vm-1");
    auto next = [&](uint64_t incarnation, uint64_t sequence, bool direct = true) {
        WorkerHeartbeat r = heartbeat(machine, {});
        r.incarnation = incarnation;
        r.sequence = sequence;
        machine.update_reachability(r, direct ? HeartbeatRoute::kDirect : HeartbeatRoute::kRelayed,
                                    config.lease_s, now += 3);
        jobs.apply_heartbeat(cluster, machine, r, Absence::kProven, now);
        machine.record_response(direct, now);
        return !machine.unreachable_since;
    };
    EXPECT_TRUE(next(1, 10));
    EXPECT_TRUE(next(1, 11));
    EXPECT_FALSE(next(1, 14)) << "it has asked others in between";
    EXPECT_FALSE(next(1, 15, false)) << "a relayed report shows nothing";
    EXPECT_FALSE(next(1, 16));
    EXPECT_TRUE(next(1, 17));
    machine.record_response(false, now);
    EXPECT_TRUE(next(1, 20)) << "a command's answer may have taken a number";
    EXPECT_FALSE(next(2, 21)) << "its lease has ended although it was answered";
    machine.unreachable_since.reset();
    now += config.lease_s;
    EXPECT_TRUE(next(3, 40)) << "it was silent for a lease";
}
